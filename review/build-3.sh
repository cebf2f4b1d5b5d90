#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start: one program for the store, the runners, the consumers and
# the cases. No stand-in of the project's own is started. Needs Go only.
set -euo pipefail
cd "$(dirname "$0")/stage3"
mkdir -p ../../target
go build -o ../../target/stage3 .
