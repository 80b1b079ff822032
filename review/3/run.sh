#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruptions.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/stand trailing review/3/record.txt
