#!/bin/sh
# Runs the case; build the programs of the deploy file and review/build-3.sh first. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/figloftd target/review-3/stand_ins; do
    test -x "$program" || { echo "$program is not built"; exit 2; }
done
exec target/review-3/stand_ins slow-advice review/15/record.txt
