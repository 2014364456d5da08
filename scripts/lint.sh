#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy on those that changed
# since the last clean run. Results are cached by a hash of the source, the
# project's headers that it includes (as the build has recorded) and the
# configuration, so an unchanged tree costs seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
mapfile -t Sources < <(git ls-files -co --exclude-standard '*.h' '*.cpp' | sort -u)
clang-format --dry-run -Werror "${Sources[@]}"
Cache=${HEATHERSADDLE_LINT_CACHE:-$HOME/.cache/heathersaddle-lint}
mkdir -p "$Cache"
Deps=$(mktemp)
trap 'rm -f "$Deps"' EXIT
ninja -C "$Build" -t deps >"$Deps"
key_of() {
  python3 - "$1" "$PWD" "$2" <<'PY'
import hashlib, sys
source, root, deps = sys.argv[1:]
files, here = {source, ".clang-tidy"}, []
def take(entry):
    if root + "/" + source in entry:
        files.update(f[len(root) + 1:] for f in entry
                     if f.startswith(root + "/") and f.endswith(".h"))
for line in open(deps):
    if line.startswith(" "):
        here.append(line.strip())
    else:
        take(here)
        here = []
take(here)
digest = hashlib.sha256()
for name in sorted(files):
    digest.update(name.encode() + b"\0" + open(name, "rb").read() + b"\0")
print(digest.hexdigest())
PY
}
lint_one() {
  local Key
  Key=$(key_of "$1" "$3")
  [ -e "$4/$Key" ] && return 0
  clang-tidy --quiet -p "$2" "$1" 2>/dev/null || { echo "lint: $1 failed"; return 1; }
  touch "$4/$Key"
}
export -f lint_one key_of
git ls-files -co --exclude-standard 'packages/*.cpp' 'platform/*.cpp' | sort -u |
  xargs -P "${HEATHERSADDLE_LINT_JOBS:-8}" -I{} bash -c \
    "lint_one {} '$Build' '$Deps' '$Cache'"
echo "lint: clean"
