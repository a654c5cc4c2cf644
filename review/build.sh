#!/bin/sh
# Builds the stand-ins of the cases that are scripts. Run it after the build of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin ./review/standin
