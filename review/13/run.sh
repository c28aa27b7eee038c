#!/bin/sh
# A machine is lost for good while another one is suspended. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: the loss alone.
exec "$(dirname "$0")/../lib-3/run-case.sh" 13
