#!/bin/bash
# Builds the stand-ins of the scripted cases, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-case3 ./review/3
go build -tags review -o target/review-case5 ./review/5
