#!/bin/sh
# Builds what the scripts of this folder start besides the project's own program: one
# program that holds the stand-ins of the platform's store, the upstreams, the clients and
# the operator. It needs no network. The project's program is built by the deploy file.
cd "$(dirname "$0")/standin" && GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -buildvcs=false -o ../bin/standin .
