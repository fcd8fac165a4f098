#!/usr/bin/env bash
# Checks what the scripts of this review need; their stand-ins are Python and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -c "import aiohttp, standin.port, standin.rowstore, review.rig2"
