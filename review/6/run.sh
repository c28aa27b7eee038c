#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; writes record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
echo "case 6, TROUBLE=${TROUBLE:-1}; seconds from the start of the case" > "$folder/record.txt" || exit 2
"$folder/../lib-2/run-case.sh" 6 "$folder/record.txt"
