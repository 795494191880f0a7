#!/bin/bash
# Runs case `resumed-streams`; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0, the disruption is left out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/lab-2 ] || [ ! -x target/release/carobvane-node ]; then
    echo "build carobvane-node as the deploy file says, then run review/build-2.sh"
    exit 2
fi
exec target/review/lab-2 resumed-streams review/7
