#!/bin/sh
# Prepares the stand-ins of the cases 11 and 12: they are programs of Python's standard library, so they are only compiled.
set -e
cd "$(dirname "$0")"
command -v python3 > /dev/null
python3 - <<'PY'
import pathlib, sys
assert sys.version_info >= (3, 9), sys.version
for path in sorted(pathlib.Path(".").glob("1[1-5]/*.py")) + sorted(pathlib.Path("stand-ins-3").glob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
