#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out the restart of the node.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-harness-2 crash review/6/record.txt
