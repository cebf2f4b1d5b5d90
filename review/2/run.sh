#!/usr/bin/env bash
# Plays the case; see claim.txt. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-harness ] || { echo "could not run: review/build.sh was not run"; exit 2; }
exec ../../target/review-harness large-row .
