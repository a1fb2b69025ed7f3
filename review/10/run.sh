#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruptions.
cd "$(dirname "$0")/../.." && exec python3 review/10/run.py
