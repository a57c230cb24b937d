#!/usr/bin/env bash
# Builds the stand-ins of the review. The gateway itself comes from the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/standin
