#!/bin/sh
# The stand-ins of review/6 to review/10 are Python programs of their own and
# need no build; this only checks that they can be run. The daemon comes from
# the build of the deploy file (make deploy-build).
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 - review/standins-2/standins.py \
  review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
  review/10/case.py <<'CHECK' || exit 2
import asyncio
import pathlib
import sys
for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
CHECK
test -x target/platform/heathersaddle-node || {
  echo "target/platform/heathersaddle-node is missing: run make deploy-build"
  exit 2
}
