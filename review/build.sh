#!/bin/sh
# Builds the stand-ins of the cases. The daemon is built by the line in deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand ./review/stand
