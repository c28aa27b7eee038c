#!/bin/sh
# A backend leaves after an outage of the store. Exits with 1 if the rule was broken, 0 if it held, 2
# if the case could not run. TROUBLE=0: no outage.
exec "$(dirname "$0")/../lib-3/run-case.sh" 11
