#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2. They have no dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standins-2
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-2 .
