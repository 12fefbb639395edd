#!/usr/bin/env bash
# Checks that the stand-ins and scripts of review/11 to review/15 compile. They
# are plain Python and need nothing besides the standard library; the daemons
# need the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - support-3/*.py 1[1-5]/*.py <<'PY'
import sys

for name in sys.argv[1:]:
    with open(name, encoding='utf-8') as source:
        compile(source.read(), name, 'exec')
PY
