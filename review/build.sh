#!/bin/sh
# The stand-ins are Python and need no build; this only checks that they compile.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps exec python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text("utf-8"), str(path), "exec")
import h11, uvloop  # noqa: E401, F401  (what the nodes need is there)
PY
