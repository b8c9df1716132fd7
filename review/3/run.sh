#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] && [ -x target/release/dandelionstair ] || exit 2
target/review/case-3
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
