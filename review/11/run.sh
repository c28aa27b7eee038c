#!/bin/sh
# A backend leaves after an outage of the store. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run; writes record.txt in this folder. TROUBLE=0: no outage.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
echo "case 11, TROUBLE=${TROUBLE:-1}; seconds from the start of the case" > "$folder/record.txt" || exit 2
"$folder/../lib-3/run-case.sh" 11 "$folder/record.txt"
