#!/usr/bin/env bash
# Plays the case "late-leave". Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/arbutusstage target/review-2/cases; do
  if [ ! -x "$program" ]; then
    echo "$program has not been built"
    exit 2
  fi
done
exec target/review-2/cases late-leave review/8
