#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start, into target/. It needs no network.
set -e
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review3-standins .
