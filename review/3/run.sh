#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Needs the programs of the deploy file (its build command) and a C++ compiler. Writes record.txt beside it.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/cases ] || review/build.sh || exit 2
exec timeout --kill-after=5 115 review/bin/cases unreadable-heartbeat review/3/record.txt
