#!/bin/sh
# run-case.sh NUMBER RECORD: runs the case of that number, which appends to the file RECORD what was
# sent, answered and run. Exits as the case does.
RECORD=$2
cd "$(dirname "$0")/../.." || exit 2
WORK=$(mktemp -d) || exit 2
export WORK RECORD
program="target/review-3/case-$1"
if [ -x target/cardamom-node ] && [ -x "$program" ]; then
  trap 'kill "$child" 2>/dev/null' INT TERM
  timeout -k 1 110 "$program" &
  child=$!
  wait "$child"
  status=$?
else
  echo "the case could not run: build the deploy file and review/build-3.sh first" | tee -a "$RECORD"
  status=2
fi
rm -rf "$WORK"
[ "$status" -le 2 ] || status=2
echo "exit $status" >> "$RECORD"
exit "$status"
