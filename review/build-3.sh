#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, which use the standard library only. The scripts of these cases call it themselves.
set -e
cd "$(dirname "$0")"
mkdir -p ../bin
CGO_ENABLED=0 go build -o ../bin/review-standins-3 ./standins-3
