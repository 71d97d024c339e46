#!/usr/bin/env bash
# Exits with 1 if DENIED was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 sends each head in one piece.
set -u
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
