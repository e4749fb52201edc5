"""Checks a service with the rules that the hosts apply to its configuration."""

import ipaddress
import re
from collections.abc import Iterator

from .errors import Fault
from .model import Confirm, Instance, InstanceState, Service

MAX_READ_AGE_MS = 86_400_000
MIN_STATEMENT_MS = 10
MAX_STATEMENT_MS = 3_600_000
MAX_SLOTS = 10_000
MAX_QUEUE = 1_000_000
MAX_CONNECTIONS = 10_000
MAX_GENERATION = 2**64 - 1
MAX_PORT = 65_535

_NAME = re.compile(r"[A-Za-z0-9._-]{1,63}")
_NAME_ADVICE = "write 1 to 63 letters, digits, dots, dashes and underscores"
_ADDRESS_ADVICE = "write an IP number and a port, such as 127.0.0.1:5432"
_VERIFIER = re.compile(r"SCRAM-SHA-256\$[0-9]+:[^$:\s]+\$[^$:\s]+:[^$:\s]+")
_CALLER_NAME = re.compile(r"[^\s=:;#\[][^\s=:]*")


def find_faults(service: Service) -> list[Fault]:
    """Returns every fault of ``service``."""
    faults = [
        *_service_faults(service),
        *_primary_faults(service),
        *_caller_faults(service),
    ]
    for name, instance in service.instances.items():
        faults.extend(_instance_faults(name, instance))
    if not service.instances:
        faults.append(Fault("service", "", "the service has no instances", "add one"))
    return faults


def _service_faults(service: Service) -> Iterator[Fault]:
    yield from _check_name("service", "name", service.name)
    ranges = (
        ("generation", service.generation, 0, MAX_GENERATION),
        ("read_age_ms", service.read_age_ms, 0, MAX_READ_AGE_MS),
        ("slots", service.slots, 1, MAX_SLOTS),
        ("queue", service.queue, 0, MAX_QUEUE),
        ("statement_timeout_ms", service.statement_timeout_ms, MIN_STATEMENT_MS, MAX_STATEMENT_MS),
    )
    for key, value, minimum, maximum in ranges:
        yield from _check_number("service", key, value, minimum, maximum)
    if not isinstance(service.confirm, Confirm):
        problem = f"{service.confirm!r} is not a way to confirm"
        yield Fault("service", "confirm", problem, "write none or replica")


def _primary_faults(service: Service) -> Iterator[Fault]:
    primary = service.preferred_primary
    if primary is None:
        return
    instance = service.instances.get(primary)
    if instance is None:
        known = ", ".join(sorted(service.instances))
        problem = f"there is no instance {primary}"
        yield Fault("service", "preferred_primary", problem, f"name one of: {known}")
    elif instance.state is InstanceState.LEAVING:
        problem = f"the instance {primary} is leaving"
        yield Fault("service", "preferred_primary", problem, "name an active instance")


def _instance_faults(name: str, instance: Instance) -> Iterator[Fault]:
    section = f"instance {name}"
    yield from _check_name(section, "", name)
    yield from _check_address(section, instance.address)
    yield from _check_name(section, "domain", instance.domain)
    yield from _check_name(section, "region", instance.region)
    yield from _check_number(section, "connections", instance.connections, 1, MAX_CONNECTIONS)
    if not isinstance(instance.state, InstanceState):
        problem = f"{instance.state!r} is not a state"
        yield Fault(section, "state", problem, "write active or leaving")


def _caller_faults(service: Service) -> Iterator[Fault]:
    for name, verifier in service.callers.items():
        if not _CALLER_NAME.fullmatch(name):
            problem = f"{name!r} can't be the name of a caller"
            yield Fault("callers", name, problem, "leave out spaces, =, : and a leading ; # [")
        if not _VERIFIER.fullmatch(verifier):
            # The fault omits the value because it may be a password.
            yield Fault(
                "callers", name, "the value is not a SCRAM verifier", "make one with add_caller"
            )


def _check_name(section: str, key: str, value: str) -> Iterator[Fault]:
    if not _NAME.fullmatch(value):
        yield Fault(section, key, f"{value!r} is not a name", _NAME_ADVICE)


def _check_number(
    section: str, key: str, value: int, minimum: int, maximum: int
) -> Iterator[Fault]:
    advice = f"write a whole number from {minimum} to {maximum}"
    if not isinstance(value, int) or isinstance(value, bool):
        yield Fault(section, key, f"{value!r} is not a whole number", advice)
    elif not minimum <= value <= maximum:
        yield Fault(section, key, f"{value} is out of range", advice)


def _check_address(section: str, address: str) -> Iterator[Fault]:
    host, colon, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT
    if not (colon and is_port and _is_ip_number(host)):
        problem = f"{address!r} is not an IP number and a port"
        yield Fault(section, "address", problem, _ADDRESS_ADVICE)


def _is_ip_number(host: str) -> bool:
    if "%" in host:
        return False
    is_version_6 = host.startswith("[") and host.endswith("]")
    try:
        if is_version_6:
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
