#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python files without dependencies.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q lib2
