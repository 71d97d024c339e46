#!/usr/bin/env bash
# Exits with 1 if QUOTA was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the SIGTERMs out.
set -u
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
