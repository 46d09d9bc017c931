#!/usr/bin/env bash
# Lays what the bench wants beside a site file, from the operators' kit; git ignores it here.
set -euo pipefail
cd "$(dirname "$0")"
kit=${1:-../../../given/kit}
install -m 644 "$kit/sites/real.json" "$kit/sites/wire.json" .
cat "$kit/sites/unlock.txt" "$kit/real/unlock.txt" "$kit/more/mass/unlock.txt" >unlock.txt
