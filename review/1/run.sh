#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/arbutusstage ] && [ -x target/review/standin ] || exit 2
target/review/standin new-agent review/1/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
