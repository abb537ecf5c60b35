#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../bin/stand .
