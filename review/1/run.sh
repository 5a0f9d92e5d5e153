#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
command -v python3 >/dev/null || exit 2
PYTHONPATH=target/deps exec python3 review/run.py 1
