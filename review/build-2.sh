#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/. It
# needs no network: they use the standard library only. The program itself is built by the line
# of deploy/system.toml before.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
export GOTOOLCHAIN=local GOPROXY=off GOFLAGS=-mod=mod GOWORK=off
cd standin-2 && go build -buildvcs=false -o ../../target/review-2/standin2 .
