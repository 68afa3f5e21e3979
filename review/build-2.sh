#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/standin-2
GOWORK=off go build -o ../../target/review-2/ ./case6 ./case7 ./case8 ./case9
