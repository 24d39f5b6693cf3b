#!/usr/bin/env bash
# A route with accepted jobs is removed, then the entries restart in turn; TROUBLE=0: neither; TROUBLE=config, TROUBLE=restart: only one.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/leverstile target/review-harness; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
timeout --signal=TERM --kill-after=2 116 target/review-harness removed-route review/2/record.txt
code=$?
[ $code -le 1 ] && exit $code
exit 2
