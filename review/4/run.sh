#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Needs the
# build of the deploy file and of review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/stand ] && [ -x ../../target/qhnode ] || { echo "build first"; exit 2; }
exec ../bin/stand keys "$(cd ../.. && pwd)" "$PWD/record.txt"
