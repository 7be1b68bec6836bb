#!/bin/sh
# Builds the stand-ins of the cases. The programs themselves come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p target
cd harness
GOWORK=off GOFLAGS="-buildvcs=false -mod=mod" go build -o ../target/harness .
