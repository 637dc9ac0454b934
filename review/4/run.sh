#!/usr/bin/env bash
# Exit status 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standins ] && [ -x target/buckthorn-entry ] || { echo "run review/build.sh and the build of the deploy file first"; exit 2; }
exec review/bin/standins budget-roll review/4/record.txt
