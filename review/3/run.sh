#!/usr/bin/env bash
# Plays the case; the exit code is 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=.:target/deps exec python3 -S review/3/case.py
