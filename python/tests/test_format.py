"""Tests of the formatting and checking of a service."""

import unittest

from jujubehold_operator import ConfigurationError, Instance, Service, format_service, parse_service

from .registry import FIXTURE, registry_service


class FormatTest(unittest.TestCase):
    def test_formatted_text_is_the_shared_fixture(self) -> None:
        self.assertEqual(format_service(registry_service()), FIXTURE.read_text())

    def test_a_service_round_trips_through_text(self) -> None:
        service = registry_service()
        self.assertEqual(parse_service(format_service(service)), service)

    def test_all_faults_are_reported_together(self) -> None:
        service = Service("green ville", read_age_ms=-1, slots=0, preferred_primary="z")
        service.add_instance("a", Instance("db1:5432", connections=0))
        service.add_instance("b", Instance("127.0.0.1", domain=""))
        service.callers["clerk"] = "secret"
        with self.assertRaises(ConfigurationError) as caught:
            format_service(service)
        places = [(fault.section, fault.key) for fault in caught.exception.faults]
        self.assertEqual(
            places,
            [
                ("service", "name"),
                ("service", "read_age_ms"),
                ("service", "slots"),
                ("service", "preferred_primary"),
                ("callers", "clerk"),
                ("instance a", "address"),
                ("instance a", "connections"),
                ("instance b", "address"),
                ("instance b", "domain"),
            ],
        )
        self.assertNotIn("secret", str(caught.exception))

    def test_ipv6_addresses_are_accepted(self) -> None:
        service = Service("s")
        service.add_instance("a", Instance("[::1]:5432"))
        self.assertIn("address = [::1]:5432\n", format_service(service))


if __name__ == "__main__":
    unittest.main()
