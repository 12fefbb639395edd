#!/usr/bin/env bash
# Builds the stand-ins of the review cases. They are plain Python on the
# standard library, so it is enough that all of them compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for path in sorted(Path('.').rglob('*.py')):
    compile(path.read_text('utf-8'), str(path), 'exec')
PY
