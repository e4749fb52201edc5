"""Tests of parsing, changing and formatting an existing configuration."""

import unittest

from jujubehold_operator import ConfigurationError, InstanceState, format_service, parse_service

from .registry import FIXTURE


class ParseTest(unittest.TestCase):
    def test_a_change_keeps_everything_else(self) -> None:
        service = parse_service(FIXTURE.read_text())
        service.take_in("c")
        service.take_out("b")
        expected = FIXTURE.read_text().split("[instance ")
        expected[2] = expected[2].replace("active", "leaving")
        expected[3] = expected[3].replace("leaving", "active")
        self.assertEqual(format_service(service), "[instance ".join(expected))

    def test_defaults_are_filled_in(self) -> None:
        service = parse_service("[service]\nname = s\n[instance a]\naddress = 127.0.0.1:1\n")
        self.assertEqual(service.slots, 3)
        self.assertIs(service.instances["a"].state, InstanceState.ACTIVE)

    def test_all_faults_are_reported_together(self) -> None:
        text = (
            "[service]\nname = s\nread_age_ms = 2s\nread_age = 5\nconfirm = both\n"
            "[instance a]\naddress = db1:5432\nstate = gone\n[servise]\n"
        )
        with self.assertRaises(ConfigurationError) as caught:
            parse_service(text)
        places = [(fault.section, fault.key) for fault in caught.exception.faults]
        self.assertEqual(
            sorted(places),
            [
                ("instance a", "address"),
                ("instance a", "state"),
                ("service", "confirm"),
                ("service", "read_age"),
                ("service", "read_age_ms"),
                ("servise", ""),
            ],
        )

    def test_numbers_are_read_as_the_hosts_read_them(self) -> None:
        for text in ("1_000", "+3", "\u0663", "1.5", ""):
            with self.subTest(text), self.assertRaises(ConfigurationError):
                parse_service(
                    f"[service]\nname = s\nslots = {text}\n[instance a]\naddress = 127.0.0.1:1\n"
                )

    def test_a_duplicate_key_is_refused(self) -> None:
        with self.assertRaises(ConfigurationError):
            parse_service("[service]\nname = s\nname = t\n")

    def test_an_instance_must_leave_before_it_is_removed(self) -> None:
        service = parse_service(FIXTURE.read_text())
        with self.assertRaises(ConfigurationError):
            service.remove_instance("b")
        service.remove_instance("c")
        self.assertEqual(sorted(service.instances), ["a", "b"])


if __name__ == "__main__":
    unittest.main()
