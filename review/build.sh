#!/bin/sh
# Builds the stand-ins of all scripts; they need nothing but Python.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
python3 -m compileall -q "$here"
