#!/bin/sh
# run-case.sh NUMBER RECORD: runs the case of that number and appends to the file RECORD what was sent, answered and
# run. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
RECORD=$2
cd "$(dirname "$0")/../.." || exit 2
WORK=$(mktemp -d) || exit 2
export WORK RECORD
program="target/review-2/case-$1"
if [ -x target/cardamom-node ] && [ -x "$program" ]; then
  trap 'kill "$child" 2>/dev/null' INT TERM
  timeout -k 1 117 "$program" &
  child=$!
  wait "$child"
  status=$?
  kill "$child" 2>/dev/null && wait "$child"
else
  echo "the case could not run: build the deploy file and review/build-2.sh first" | tee -a "$RECORD"
  status=2
fi
rm -rf "$WORK"
[ "$status" -le 2 ] || status=2
echo "exit $status" >> "$RECORD"
exit "$status"
