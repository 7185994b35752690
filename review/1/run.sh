#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the drain.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 target/review/rig drain-slow-reader review/1/record.txt
