"""Nothing outside the adapter uses the platform's names."""

import pathlib
import unittest

import papayatack

WORDS = (
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


class BorderTests(unittest.TestCase):
    """The words on the wire stay in one folder."""

    def test_platform_words_stay_in_the_adapter(self):
        """Each other module speaks the product's language."""
        root = pathlib.Path(papayatack.__file__).parent
        found = [
            f"{path.relative_to(root)}: {word}"
            for path in sorted(root.rglob("*.py"))
            if root / "platform" not in path.parents
            for word in WORDS
            if word in path.read_text(encoding="utf-8").lower()
        ]
        self.assertEqual(found, [])
