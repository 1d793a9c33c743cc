#!/usr/bin/env bash
# Two copies of a database lose their path to the store while the third one is deaf.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/poplarrouter ] && [ -x target/review2/lab2 ] || exit 2
# TROUBLE=0 plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 5 100 target/review2/lab2 lost review/6/record.txt
