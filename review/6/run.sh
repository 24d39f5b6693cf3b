#!/usr/bin/env bash
exec "$(dirname "$0")/../harness-2/run-case.sh" gang review/6
