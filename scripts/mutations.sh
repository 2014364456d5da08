#!/usr/bin/env bash
# Switches off one safety rule at a time and expects the fuzzer to notice.
set -euo pipefail
Program=$1/packages/fuzz/heathersaddle_fuzz
Missed=0
for Rule in epoch-check own-record-first snapshot-check tombstones; do
  # The program fails as soon as it finds a violation.
  if Output=$("$Program" --seeds 3000 --first --no-shrink --without "$Rule"); then
    echo "mutation $Rule: not noticed"
    Missed=1
  else
    echo "mutation $Rule: $(grep -m1 '^violation' <<<"$Output" | cut -c1-160)"
    echo "  $(tail -n1 <<<"$Output")"
  fi
done
exit "$Missed"
