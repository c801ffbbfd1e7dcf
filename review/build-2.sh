#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are in one
# program, which also plays the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-case ./review/standin2
