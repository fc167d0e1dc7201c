#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
program=$folder/../../target/review-2/case-$(basename "$folder")
[ -x "$program" ] && [ -x "$folder/../../target/bin/marjorampath-entry" ] || exit 2
RECORD=$folder/record.txt timeout --kill-after=2 115 "$program"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
