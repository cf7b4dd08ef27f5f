#!/bin/sh
# Runs the case; see claim.txt. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. Writes what
# was sent, answered and run to record.txt beside this file. TROUBLE=0 leaves the disruption out.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}"
exec python3 -B "$here/case.py"
