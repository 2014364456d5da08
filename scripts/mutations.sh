#!/usr/bin/env bash
# Disables one safety rule at a time and expects the fuzzer to find a violation.
# A violation counts only on a seed that has none with all rules enabled.
set -euo pipefail
Program=$1/packages/fuzz/heathersaddle_fuzz
MaxSeeds=${MAX_SEEDS:-3000}
Missed=0
for Rule in epoch-check own-record-first snapshot-check tombstones; do
  # Tombstones matter only if a command is carried out after its stop.
  Steps=()
  [ "$Rule" = tombstones ] && Steps=(--hold-commands)
  First=1
  Noticed=
  while [ "$First" -le "$MaxSeeds" ]; do
    Output=$("$Program" --seed "$First" --seeds $((MaxSeeds - First + 1)) \
      --first --no-shrink --without "$Rule" "${Steps[@]}") && break
    Seed=$(sed -n 's/^violation: seed=\([0-9]*\) .*/\1/p' <<<"$Output" | head -n1)
    if "$Program" --seed "$Seed" --seeds 1 --no-shrink "${Steps[@]}" \
      >/dev/null; then
      Noticed=$(grep -m1 '^violation' <<<"$Output" | cut -c1-160)
      break
    fi
    First=$((Seed + 1))
  done
  if [ -n "$Noticed" ]; then
    echo "mutation $Rule: noticed after $Seed seeds: $Noticed"
  else
    echo "mutation $Rule: not noticed in $MaxSeeds seeds"
    Missed=1
  fi
done
exit "$Missed"
