#!/bin/bash
# Formatter, linter and type checker, with the rules of pyproject.toml. PYTHON names the interpreter.
set -u
cd "$(dirname "$0")/.."
python="${PYTHON:-.venv-lab/bin/python}"
failed=0
"$python" -m ruff format --check . || failed=1
"$python" -m ruff check . || failed=1
"$python" -m mypy || failed=1
exit "$failed"
