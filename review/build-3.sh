#!/usr/bin/env bash
# Builds the stand of the scripts in review/11 and later, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/stand3
