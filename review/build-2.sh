#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 10. It needs nothing but Go's standard library, and no network.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p bin
go build -o bin/standin-2 .
