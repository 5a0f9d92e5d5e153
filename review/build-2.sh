#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start: compiles them once.
# They are Python, run beside the packages that the build of the deploy file installs.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps exec python3 -m compileall -q standins review/scene-2 \
    review/6 review/7 review/8 review/9
