#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy on the files without a
# cached clean result. The cache key is a hash of the source, the project's
# headers that it includes (as recorded by the build) and .clang-tidy, so
# checking an unchanged tree takes seconds.
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
cache_key() {
  python3 - "$1" "$PWD" "$2" <<'PY'
import hashlib, sys
source, root, deps = sys.argv[1:]
files, paths = {source, ".clang-tidy"}, []
def add_files(entry):
    if root + "/" + source in entry:
        files.update(f[len(root) + 1:] for f in entry
                     if f.startswith(root + "/") and f.endswith(".h"))
for line in open(deps):
    if line.startswith(" "):
        paths.append(line.strip())
    else:
        add_files(paths)
        paths = []
add_files(paths)
digest = hashlib.sha256()
for name in sorted(files):
    digest.update(name.encode() + b"\0" + open(name, "rb").read() + b"\0")
print(digest.hexdigest())
PY
}
lint_one() {
  local Key
  Key=$(cache_key "$1" "$3")
  [ -e "$4/$Key" ] && return 0
  clang-tidy --quiet -p "$2" "$1" 2>/dev/null || { echo "lint: $1 failed"; return 1; }
  touch "$4/$Key"
}
export -f lint_one cache_key
git ls-files -co --exclude-standard 'packages/*.cpp' 'platform/*.cpp' | sort -u |
  xargs -P "${HEATHERSADDLE_LINT_JOBS:-8}" -I{} bash -c \
    "lint_one {} '$Build' '$Deps' '$Cache'"
echo "lint: clean"
