#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and later start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
GOWORK=off go build -o ../../target/review-2/standins .
