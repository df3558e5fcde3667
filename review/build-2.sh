#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/ of the project, after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")"
mkdir -p ../bin
export GOPROXY=off GOTOOLCHAIN=local GOWORK=off CGO_ENABLED=0
go build -buildvcs=false -o ../bin/review-2 ./standins-2
go build -buildvcs=false -o ../bin/review-2-devices ./standins-2/devices
