#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/review-yard ] && [ -x target/bin/apricotmount ] || exit 2
exec target/bin/review-yard --record review/14/record.txt pipelined
