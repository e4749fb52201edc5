#!/bin/sh
# Exits with 1 if a read on a `primary` route lacked an acknowledged commit, 0 if none did, 2 if the
# case can't run. TROUBLE=0: the same without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
