#!/bin/sh
# Builds the stand-ins that the cases 6 to 8 start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/stand_ins_2
