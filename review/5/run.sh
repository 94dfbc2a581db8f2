#!/bin/sh
# Exits with 1 if an acknowledged add is gone, 0 if none is, 2 if the case couldn't run. TROUBLE=0: no disk is lost.
cd "$(dirname "$0")" || exit 2
python3 case.py
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
