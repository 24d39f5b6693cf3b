#!/usr/bin/env bash
# The tasks of one lasting service fail soon after each start, beside the jobs of others; TROUBLE=0: they work on.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/leverstile target/review-harness; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
timeout --signal=TERM --kill-after=2 116 target/review-harness crash-loop review/3/record.txt
code=$?
[ $code -le 1 ] && exit $code
exit 2
