#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With TROUBLE=0 the disruption is left out; the stand-ins read the variable.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand_ins ] && [ -x target/release/figloftd ] || exit 2
exec target/review/stand_ins unlisted-ends review/1/record.txt
