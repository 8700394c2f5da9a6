#!/bin/sh
# Builds the stand-ins that the scripts below review/ start. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/...
