#!/bin/sh
# Builds the stand-ins of the scripts of cases 11 to 15, into target/review-3.
set -e
cd "$(dirname "$0")/harness-3"
go build -o ../../target/review-3/harness3 .
