#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy on those that changed
# since the last clean run. Results are cached by a hash of the source, its
# package headers and the configuration, so an unchanged tree costs seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
mapfile -t Sources < <(git ls-files -co --exclude-standard '*.h' '*.cpp' | sort -u)
clang-format --dry-run -Werror "${Sources[@]}"
Cache=${HEATHERSADDLE_LINT_CACHE:-$HOME/.cache/heathersaddle-lint}
mkdir -p "$Cache"
Headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy |
  sort -u | xargs sha256sum | sha256sum | cut -d' ' -f1)
lint_one() {
  local Key
  Key=$(echo "$3 $(sha256sum <"$1")" | sha256sum | cut -d' ' -f1)
  [ -e "$4/$Key" ] && return 0
  clang-tidy --quiet -p "$2" "$1" 2>/dev/null || { echo "lint: $1 failed"; return 1; }
  touch "$4/$Key"
}
export -f lint_one
git ls-files -co --exclude-standard 'packages/*.cpp' | sort -u |
  xargs -P "${HEATHERSADDLE_LINT_JOBS:-8}" -I{} bash -c \
    "lint_one {} '$Build' '$Headers' '$Cache'"
echo "lint: clean"
