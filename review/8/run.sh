#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/linnetrudder && test -x target/rig-2 || exit 2
exec target/rig-2 sessions review/8
