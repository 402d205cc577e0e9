#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/. It
# needs no network: they use the standard library only. The program itself is built by the line
# of deploy/system.toml before.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOTOOLCHAIN=local GOPROXY=off GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-2/standin2 .
