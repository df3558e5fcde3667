#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p ../bin
go build -buildvcs=false -o ../bin/review-2 ./standins-2
