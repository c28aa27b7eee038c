#!/bin/sh
# A machine is lost for good while another one is suspended. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run; writes record.txt in this folder. TROUBLE=0: the loss alone.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
echo "case 13, TROUBLE=${TROUBLE:-1}; seconds from the start of the case" > "$folder/record.txt" || exit 2
"$folder/../lib-3/run-case.sh" 13 "$folder/record.txt"
