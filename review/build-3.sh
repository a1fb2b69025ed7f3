#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain Python; this checks that they compile.
cd "$(dirname "$0")" || exit 1
for file in small_site_3_*.py 1[1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
