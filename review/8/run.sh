#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the crashes.
cd "$(dirname "$0")/../.." && exec python3 review/8/run.py
