#!/bin/bash
# Builds the stand-ins of the cases 6 to 10: they are Python files that need
# the standard library alone, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
for folder in standins-2 6 7 8 9 10; do
    [ -d "$folder" ] || continue
    python3 -c '
import pathlib
import sys

for path in sorted(pathlib.Path(sys.argv[1]).glob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
' "$folder"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
