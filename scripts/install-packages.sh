#!/usr/bin/env bash
# Installs the Debian packages that the build declares in packages.txt.
# Does nothing when all of them are already installed.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t Packages < <(grep -v '^#' packages.txt)
Missing=()
for P in "${Packages[@]}"; do
  dpkg-query -W -f='${Status}' "$P" 2>/dev/null |
    grep -q 'install ok installed' || Missing+=("$P")
done
[ ${#Missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${Missing[@]}"
