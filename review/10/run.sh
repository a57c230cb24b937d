#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 plays
# the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsamhilld ] && [ -x target/review-2 ] || exit 2
exec target/review-2 -case stop-silent -record review/10/record.txt
