#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin3 ./review/standin3
