#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption. Exit: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cardamom-node ] && [ -x review/bin/case5 ] || exit 2
timeout --kill-after=2 110 review/bin/case5 > review/5/record.txt 2>&1
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
