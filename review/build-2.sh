#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python and need nothing but
# python3 of 3.11; this compiles them, so that a fault in them shows here.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile small_site_2.py [6-9]/*.py 10/*.py
