#!/usr/bin/env bash
# Builds the program that plays the scripted cases: review/bin/harness.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off go build -ldflags=-linkmode=external -o bin/harness ./harness
