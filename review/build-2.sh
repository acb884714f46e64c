#!/bin/sh
# Builds the stand-ins of this review's scripts (kit2.py and each run.py).
# They are Python and use only the standard library: compiling them is all.
cd "$(dirname "$0")" || exit 1
for script in kit2.py 6/run.py 7/run.py 8/run.py 9/run.py 10/run.py; do
    [ ! -e "$script" ] || python3 -m py_compile "$script" || exit 1
done
