#!/usr/bin/env bash
# The stand-ins are Python without a build step; this checks that they find what they import in
# target/deps, the result of the build command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=.:target/deps python3 -S -c 'import review.rollout, standin.entryupstream, standin.rowstore'
