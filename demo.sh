#!/usr/bin/env bash
# Installs the project into .venv and runs the demonstration fleet.
set -euo pipefail
cd "$(dirname "$0")"
[ -x .venv/bin/python ] || python3 -m venv .venv
.venv/bin/python -m pip install --quiet --editable .
exec .venv/bin/python -m greengagemux_standins demo "$@"
