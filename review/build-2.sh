#!/bin/sh
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-harness-2 ./review/harness
