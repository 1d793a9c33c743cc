#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: no proxy stands still.
cd "$(dirname "$0")/../.." || exit 2
for program in target/poplarrouter target/review-case5; do
	[ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -s INT -k 5 110 target/review-case5 -folder "$folder" -record review/5/record.txt -trouble=$trouble
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
