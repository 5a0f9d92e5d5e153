"""Tests of what a start of the program on the platform loads."""

import subprocess
import sys
import unittest

UNUSED = (
    "difflib",
    "papayatack.control.checkpoints",
    "papayatack.control.loading",
    "papayatack.core.changes",
    "papayatack.core.config_fold",
    "papayatack.core.configuration",
    "papayatack.core.documents",
    "papayatack.core.path_pattern",
    "papayatack.ctl",
    "papayatack.daemon.publication",
    "papayatack.logservice.checkpoints",
    "papayatack.logservice.http",
    "tomllib",
)
LIST_MODULES = "import papayatack.platform.program, sys; print(*sys.modules)"


class StartTests(unittest.TestCase):
    """Modules of a process that has just started."""

    @classmethod
    def setUpClass(cls):
        """Import the program in a process of its own."""
        found = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            capture_output=True,
            check=True,
            text=True,
        )
        cls.modules = set(found.stdout.split())

    def test_parts_without_use_on_the_platform_are_not_loaded(self):
        """They cost time and memory at each start, of which a kill makes one."""
        for name in UNUSED:
            with self.subTest(name=name):
                self.assertNotIn(name, self.modules)

    def test_unused_parts_exist(self):
        """A part that was renamed does not drop out of sight."""
        for name in UNUSED:
            with self.subTest(name=name):
                __import__(name)
