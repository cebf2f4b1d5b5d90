#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs Go only and no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOFLAGS=-mod=mod GOPROXY=off go build -o ../target/review-harness ./harness
