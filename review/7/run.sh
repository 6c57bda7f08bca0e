#!/bin/sh
# Case 7; see claim.txt. TROUBLE=0 plays it without the disruption.
# Status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout -k 5 114 python3 case.py
case $? in
0) exit 0 ;;
41) exit 1 ;;
*) exit 2 ;;
esac
