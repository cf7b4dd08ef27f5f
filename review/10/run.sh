#!/bin/sh
# Runs the case; see claim.txt. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
exec python3 -B "$here/case.py"
