#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and later.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2/ ./review/lab2
