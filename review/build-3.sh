#!/bin/bash
# Checks what the scripts of the third review need. Their stand-ins are plain
# Python files in review/standins-3, which use the standard library only.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
test -d target/deps
python3 -m py_compile review/standins-3/*.py review/1[1-5]/*.py
find review/standins-3 review/1[1-5] -name __pycache__ -prune -exec rm -rf {} +
