#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they need the standard library
# only, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path('kit-2').glob('*.py')):
    compile(path.read_text(), str(path), 'exec')
CHECK
