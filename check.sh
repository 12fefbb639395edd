#!/usr/bin/env bash
# Installs the project with its development tools into .venv and runs the
# formatter, the linter, the type checker and the tests.
set -euo pipefail
cd "$(dirname "$0")"
[ -x .venv/bin/python ] || python3 -m venv .venv
.venv/bin/python -m pip install --quiet --editable '.[dev]'
.venv/bin/ruff format --check greengagemux greengagemux_standins tests
.venv/bin/flake8 greengagemux greengagemux_standins tests
.venv/bin/mypy
.venv/bin/python -m pytest tests
