"""Tests that only the adapter uses the platform's names."""

import pathlib
import unittest

import papayatack

PLATFORM_NAMES = (
    "sidecar",
    "shard-key",
    "routekind",
    "pathprefix",
    "capacityslots",
    "coldremaining",
    "trafficsplit",
    "appaddr",
    "instanceid",
    "caller-service",
    "expected-instance",
    "response-signature",
    "not-executed",
    "server-load",
    "log-append",
    "log-newest",
    "papayatack_boot",
)


class PlatformNamesTests(unittest.TestCase):
    """The platform's names stay in one package."""

    def test_platform_names_are_used_in_the_adapter_only(self):
        """All other modules use the product's own terms."""
        root = pathlib.Path(papayatack.__file__).parent
        found = [
            f"{path.relative_to(root)}: {word}"
            for path in sorted(root.rglob("*.py"))
            if root / "platform" not in path.parents
            for word in PLATFORM_NAMES
            if word in path.read_text(encoding="utf-8").lower()
        ]
        self.assertEqual(found, [])
