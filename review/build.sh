#!/bin/sh
# Builds the stand-ins of the cases: Python files, which are compiled. Needs the deploy file's build and no network.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
