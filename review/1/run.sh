#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the drain.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 3 110 target/review/rig drain-slow-reader review/1/record.txt
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;; # Not built, out of time, or the stand-ins failed.
esac
