#!/usr/bin/env bash
# run-case.sh CASE DIRECTORY plays a case and writes DIRECTORY/record.txt. It exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/leverstile ] || [ ! -x target/review-2/standins ]; then
  echo "build first: the build of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
timeout 115 target/review-2/standins --case "$1" --record "$2/record.txt"
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || exit 2
exit "$code"
