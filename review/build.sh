#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../bin/stand .
