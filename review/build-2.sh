#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. They use the standard library only.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local GOFLAGS= go build -buildvcs=false -o ../../target/stand-2 .
