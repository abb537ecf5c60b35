#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. They use the standard library only.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
GOWORK=off GOFLAGS= go build -o ../../target/stand-2 .
