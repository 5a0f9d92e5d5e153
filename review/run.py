"""Runs the script of a case; whatever goes wrong in it ends with 2, not with 1."""

import pathlib
import runpy
import sys
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent

try:
    runpy.run_path(str(FOLDER / sys.argv[1] / "play.py"), run_name="__main__")
except SystemExit:
    raise
except BaseException:
    traceback.print_exc()
    sys.exit(2)
