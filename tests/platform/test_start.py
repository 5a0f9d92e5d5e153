"""Tests of which modules the program on the platform imports at start."""

import subprocess
import sys
import unittest

UNUSED_MODULES = (
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
    """Modules loaded by a process that has just started."""

    @classmethod
    def setUpClass(cls):
        """Import the program in a separate process."""
        found = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            capture_output=True,
            check=True,
            text=True,
        )
        cls.modules = set(found.stdout.split())

    def test_unused_modules_are_not_imported(self):
        """They would cost time and memory at each start, also after a kill."""
        for name in UNUSED_MODULES:
            with self.subTest(name=name):
                self.assertNotIn(name, self.modules)

    def test_unused_modules_exist(self):
        """A renamed module must be renamed in the list as well."""
        for name in UNUSED_MODULES:
            with self.subTest(name=name):
                __import__(name)
