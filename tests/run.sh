#!/bin/bash
# All tests, in two parts: those that start no process and open no socket, beside each other; then the others, few files
# at a time, as they wait in real time. PYTHON names the interpreter; arguments are passed on to pytest in both parts.
set -u
cd "$(dirname "$0")/.."
python="${PYTHON:-.venv-lab/bin/python}"
failed=0
"$python" -m pytest -n auto --maxprocesses 6 --dist worksteal -m "not processes" "$@" || failed=1
"$python" -m pytest -n 3 --dist loadfile -m processes "$@" || failed=1
exit "$failed"
