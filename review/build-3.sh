#!/bin/bash
# Builds the stand-ins of the cases 11 to 15: they are Python files that need
# the standard library alone, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
for folder in standins-3 11 12 13 14 15; do
    python3 -c '
import pathlib
import sys

assert sys.version_info >= (3, 11)
for path in sorted(pathlib.Path(sys.argv[1]).glob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
' "$folder"
done
