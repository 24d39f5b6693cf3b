#!/usr/bin/env bash
# One timed job with the largest repeat_count; TROUBLE=0: with a count of 20; TROUBLE=many: 60 jobs with a count of 3,000.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/leverstile target/review-harness; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
timeout --signal=TERM --kill-after=2 116 target/review-harness timed-jobs review/1/record.txt
code=$?
[ $code -le 1 ] && exit $code
exit 2
