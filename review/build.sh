#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, after the build of the deploy file.
# They use Go's standard library only, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=off GOFLAGS=-mod=mod go -C review/harness build -o ../../target/review-harness .
