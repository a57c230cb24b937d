#!/usr/bin/env bash
# Builds the program that plays the scripted cases 6 to 10 and all their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
PATH="$(.ci/setup-go):$PATH"
go build -o target/review-2 ./review/standins-2
