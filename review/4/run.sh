#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/harness ] && [ -x target/entry ] && [ -x target/daemon ] || exit 2
exec review/target/harness -case late-end -root "$PWD" -record "review/4/record.txt"
