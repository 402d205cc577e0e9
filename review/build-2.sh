#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the program itself, into
# target/review-2/: its own stand-ins, and those of the first review for case 9. It needs no
# network: they use the standard library only. The program is built by the line of
# deploy/system.toml before.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
export GOTOOLCHAIN=local GOPROXY=off GOFLAGS=-mod=mod GOWORK=off
(cd standin-2 && go build -buildvcs=false -o ../../target/review-2/standin2 .)
(cd standin && go build -buildvcs=false -o ../../target/review-2/standin .)
