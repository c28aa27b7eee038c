#!/bin/sh
# Runs the case of a number. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
WORK=$(mktemp -d) || exit 2
RECORD="review/$1/record.txt"
export WORK RECORD
timeout -k 2 117 "target/review-2/case-$1"
status=$?
rm -rf "$WORK"
[ "$status" -le 1 ] && exit "$status"
exit 2
