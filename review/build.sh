#!/bin/sh
# Builds what the cases start. The stand-ins are Python programs without
# dependencies, so compiling them is all there is to do.
set -e
cd "$(dirname "$0")"
exec python3 -m py_compile harness.py */case.py
