#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/gypsumleverd ] || exit 2
TROUBLE="${TROUBLE:-1}" target/review/harness helper "$folder"
outcome=$?
[ "$outcome" -le 2 ] || outcome=2
exit "$outcome"
