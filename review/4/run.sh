#!/usr/bin/env bash
# Runs the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosemarywing-gateway ] && [ -x target/review/standin ] || exit 2
exec target/review/standin late-beat review/4
