"""Run the whole test suite and print one closing line for CI.

Failures that ``KNOWN-RED.txt`` lists are printed but do not fail the run; an entry
is a line ``test: <unittest id>``. A listed test that passes is reported, so that the
entry is removed.
"""

import asyncio
import os
import pathlib
import sys
import time
import unittest

import hypothesis

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_PREFIX = "test: "
SLOWEST_SHOWN = 10
HASH_SEED = "PYTHONHASHSEED"


class _TimingResult(unittest.TextTestResult):
    """Keep how long each test took, to show the slowest."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.durations_s = {}
        self._started_s = 0.0

    def startTest(self, test):  # noqa: N802
        self._started_s = time.perf_counter()
        super().startTest(test)

    def stopTest(self, test):  # noqa: N802
        self.durations_s[test.id()] = time.perf_counter() - self._started_s
        super().stopTest(test)


def read_known_red():
    """Return the ids of the tests that ``KNOWN-RED.txt`` lists."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def configure_hypothesis():
    """Make property tests give the same verdict on every run."""
    hypothesis.settings.register_profile(
        "ci", derandomize=True, deadline=None, database=None
    )
    hypothesis.settings.load_profile("ci")


def load_tests(loader, name):
    """Return the tests of a package, module, class or method."""
    folder = ROOT / name.replace(".", "/")
    if folder.is_dir():
        return loader.discover(str(folder), top_level_dir=str(ROOT))
    return loader.loadTestsFromName(name)


def run_tests(names):
    """Run the named tests, or all, and return the process's exit status."""
    configure_hypothesis()
    loader = unittest.TestLoader()
    suites = [load_tests(loader, name) for name in names or ["tests"]]
    suite = unittest.TestSuite(suites)
    runner = unittest.TextTestRunner(resultclass=_TimingResult, verbosity=1)
    result = runner.run(suite)
    return report(result)


def report(result):
    """Print the slowest tests, the known failures and the closing line."""
    slowest = sorted(result.durations_s.items(), key=lambda item: -item[1])
    for test_id, duration_s in slowest[:SLOWEST_SHOWN]:
        print(f"{duration_s:8.2f} s  {test_id}")
    known = read_known_red()
    failed = {test.id() for test, _ in result.failures + result.errors}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    for test_id in sorted(failed & known):
        print(f"known red: {test_id}")
    for test_id in sorted(known - failed):
        print(f"listed in KNOWN-RED.txt but green or not run: {test_id}")
    unexpected = failed - known
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"{max(passed, 0)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not result.testsRun else 0


def fix_hash_seed():
    """Start again with a fixed seed, so that sets are walked alike on every run."""
    if os.environ.get(HASH_SEED) is None:
        os.environ[HASH_SEED] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "tests", *sys.argv[1:]])


if __name__ == "__main__":
    fix_hash_seed()
    asyncio.set_event_loop_policy(None)
    sys.exit(run_tests(sys.argv[1:]))
