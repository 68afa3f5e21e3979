#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
