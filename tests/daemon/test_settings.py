"""Tests of papayatack.daemon.settings."""

import unittest

from papayatack.core.errors import SettingsError
from papayatack.daemon.settings import parse_settings, read_settings

VALID = """
[node]
data_centre = centro
region = barranquilla
[listen]
callers = 127.0.0.1:8080
peers = 127.0.0.1:7000
operators = 127.0.0.1:7100
[log]
address = 127.0.0.1:9000
"""


class ParseSettingsTests(unittest.TestCase):
    """Validation of the whole file."""

    def assert_fault(self, text, fault):
        """Assert that ``text`` is rejected with ``fault`` in the message."""
        with self.assertRaises(SettingsError) as caught:
            parse_settings(text)
        self.assertIn(fault, str(caught.exception))

    def test_valid_file_keeps_values_and_defaults(self):
        """Values are taken as written; absent sections have defaults."""
        settings = parse_settings(VALID)
        self.assertEqual(settings.node.data_centre, "centro")
        self.assertEqual(settings.limits.header_bytes, 16_384)

    def test_every_fault_is_named_at_once(self):
        """Two faults in different sections are both in the message."""
        text = VALID.replace("region = barranquilla\n", "").replace(
            "127.0.0.1:9000", "log.example:9000"
        )
        self.assert_fault(text, "[node] region: this key is missing")
        self.assert_fault(text, "[log] address: 'log.example' is not an IP number")

    def test_unknown_key_suggests_the_nearest(self):
        """A misspelt key is rejected with the key that was meant."""
        text = VALID.replace("callers =", "caller =")
        self.assert_fault(text, "[listen] caller: not known; did you mean 'callers'?")

    def test_missing_section_is_named(self):
        """A file without a required section says which."""
        self.assert_fault("[node]\ndata_centre=a\nregion=b\n", "[log]: this section")

    def test_bad_port_is_named(self):
        """A port beyond the range is rejected."""
        self.assert_fault(VALID.replace(":7000", ":70000"), "[listen] peers: '70000'")

    def test_text_that_is_no_ini_file(self):
        """Text without sections is rejected as not an INI file."""
        self.assert_fault("hello", "not an INI file")

    def test_missing_file_names_the_path(self):
        """A path that does not exist is in the message."""
        with self.assertRaises(SettingsError) as caught:
            read_settings("/nonexistent/papayatack.ini")
        self.assertIn("/nonexistent/papayatack.ini", str(caught.exception))
