#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build first: cargo build --release --package carobvane --bin carobvane-node, and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lab ] && [ -x target/release/carobvane-node ] || exit 2
# The nodes are in the process group of the stand-ins, which ends with the script.
set -m
target/review/lab stale-entry review/5 &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' HUP INT TERM
wait "$group"
exit $?
