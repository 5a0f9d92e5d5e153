"""Tests of papayatack.platform.settings and of the settings template."""

import pathlib
import unittest

from papayatack.core.errors import SettingsError
from papayatack.core.shutdown import CLOSE_GRACE_S
from papayatack.platform import settings as module
from papayatack.platform.settings import parse_platform_settings

TEXT = """
[node]
name = n-1
data_centre = east
region = r
[listen]
callers = 127.0.0.1:1
upstream = 127.0.0.1:2
readiness = 127.0.0.1:3
peers = 127.0.0.1:4
operators = 127.0.0.1:5
[upstream]
service =
address =
heartbeat = 870ms
[store]
address = 127.0.0.1:6
keep = 20s
[bounds]
drain = 2000ms
grace = 6s
longest_hold = 10000ms
[places]
east = r
West = r
"""


class SettingsTests(unittest.TestCase):
    """Parsing of a rendered template."""

    def test_durations_have_units(self):
        """Milliseconds and seconds are accepted."""
        settings = parse_platform_settings(TEXT, source="s")
        self.assertEqual(settings.upstream.heartbeat, 0.87)
        self.assertEqual(settings.bounds.grace, 6.0)
        names = [place.name for place in settings.all_places]
        self.assertEqual(names, ["east", "West"])

    def test_shutdown_fits_the_grace_period(self):
        """Requests are abandoned in the last sixth only, and end before the kill."""
        settings = parse_platform_settings(TEXT, source="s")
        limits = settings.build_settings().limits
        longest_s = limits.drain_notice_s + limits.drain_timeout_s
        grace_s = settings.bounds.grace
        self.assertGreaterEqual(longest_s, grace_s * 5 / 6)
        self.assertLess(longest_s + CLOSE_GRACE_S, grace_s)
        self.assertLess(limits.upstream_drain_s, settings.bounds.drain)

    def test_optional_settings_come_from_the_environment_if_the_file_has_none(self):
        environment = {
            "PAPAYATACK_BOUNDS_COLD_OVERRUN": "1.5",
            "PAPAYATACK_BOUNDS_EVACUATION": "",
            "PAPAYATACK_LIMITS_MEMORY": "200",
            "PAPAYATACK_BOUNDS_GRACE": "9s",
        }
        text = TEXT + "[limits]\ndescriptors = 500\n"
        settings = parse_platform_settings(text, source="s", environment=environment)
        self.assertEqual(settings.bounds.cold_overrun, 1.5)
        self.assertIsNone(settings.bounds.evacuation)
        self.assertEqual(settings.limits.memory, 200)
        self.assertEqual(settings.limits.descriptors, 500)
        self.assertEqual(settings.bounds.grace, 6.0)
        environment["PAPAYATACK_LIMITS_DESCRIPTORS"] = "many"
        self.assertEqual(
            parse_platform_settings(
                text, source="s", environment=environment
            ).limits.descriptors,
            500,
        )
        with self.assertRaises(SettingsError):
            parse_platform_settings(TEXT, source="s", environment=environment)

    def test_all_errors_are_listed(self):
        """The message names the key of each error."""
        broken = TEXT.replace("870ms", "soon").replace("127.0.0.1:6", "store:6")
        with self.assertRaises(SettingsError) as caught:
            parse_platform_settings(broken, source="s")
        self.assertIn("heartbeat", str(caught.exception))
        self.assertIn("store", str(caught.exception))

    def test_invalid_ini_file_is_refused(self):
        """The message has the name of the file."""
        with self.assertRaisesRegex(SettingsError, "name.ini: not an INI file"):
            parse_platform_settings("no section", source="name.ini")

    def test_template_has_all_sections(self):
        """The settings define each key of the template."""
        path = pathlib.Path(module.__file__).with_name("settings.ini")
        section, keys = "", []
        for line in path.read_text("utf-8").splitlines():
            if line.startswith("["):
                section = line.strip("[]")
            elif " = " in line and not line.startswith("{{"):
                keys.append((section, line.partition(" = ")[0]))
        fields = module.PlatformSettings.model_fields
        for section, key in keys:
            with self.subTest(section=section, key=key):
                self.assertIn(key, fields[section].annotation.model_fields)
