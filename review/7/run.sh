#!/usr/bin/env bash
# A database fails a part of its requests while consumers set values.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/poplarrouter ] && [ -x target/review2/lab2 ] || exit 2
# TROUBLE=0 plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 5 100 target/review2/lab2 values review/7/record.txt
