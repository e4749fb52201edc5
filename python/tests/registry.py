"""The service whose text is the fixture that the Rust tests read too."""

from pathlib import Path

from jujubehold_operator import Instance, Service, make_verifier

FIXTURE = (
    Path(__file__).parents[2]
    / "crates/jujubehold_settings/resources/test/fixtures/operator_service.ini"
)


def registry_service() -> Service:
    """Returns a service with three instances, one of them leaving."""
    service = Service("greenville-shares", generation=7, preferred_primary="a")
    locations = (
        ("a", "greenville", "delta"),
        ("b", "salisbury", "piedmont"),
        ("c", "mobile", "gulf"),
    )
    for number, (name, domain, region) in enumerate(locations):
        address = f"127.0.0.1:{5501 + number}"
        service.add_instance(name, Instance(address, domain=domain, region=region))
    service.allow_read_age(ms=1500)
    service.take_out("c")
    salt = bytes(range(16))
    service.callers["clerk"] = make_verifier("pencil", salt=salt)
    return service
