#!/bin/sh
# Exits with 1 if an acknowledged commit is not in the log of the promoted instance, 0 if all are, 2 if the
# case can't run. TROUBLE=0: the same without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
