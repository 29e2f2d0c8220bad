#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the programs of the deploy file: nothing. Their stand-ins are in
# review/support-2 and run under python3 (3.9 or later, standard library only). Checks that it is there.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "python3, 3.9 or later, is missing" >&2; exit 2; }
python3 -m py_compile review/support-2/standins.py || exit 2
rm -rf review/support-2/__pycache__
