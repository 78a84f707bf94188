#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15; the build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/ ./review/stand3
