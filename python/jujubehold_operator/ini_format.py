"""Formats a service as the INI text that ``jujubehold submit`` reads."""

from .check import find_faults
from .errors import ConfigurationError
from .model import Service


def format_service(service: Service) -> str:
    """Returns the INI text of ``service``, identical byte for byte to the hosts' output.

    Raises :class:`ConfigurationError` with every fault if the service is invalid.
    """
    faults = find_faults(service)
    if faults:
        raise ConfigurationError(faults)
    lines = [
        "[service]",
        f"name = {service.name}",
        f"generation = {service.generation}",
        f"confirm = {service.confirm.value}",
        f"read_age_ms = {service.read_age_ms}",
        f"slots = {service.slots}",
        f"queue = {service.queue}",
        f"statement_timeout_ms = {service.statement_timeout_ms}",
    ]
    if service.preferred_primary is not None:
        lines.append(f"preferred_primary = {service.preferred_primary}")
    for name, instance in sorted(service.instances.items()):
        lines += [
            "",
            f"[instance {name}]",
            f"address = {instance.address}",
            f"domain = {instance.domain}",
            f"region = {instance.region}",
            f"state = {instance.state.value}",
            f"connections = {instance.connections}",
        ]
    if service.callers:
        lines += ["", "[callers]"]
        lines += [f"{name} = {verifier}" for name, verifier in sorted(service.callers.items())]
    return "\n".join(lines) + "\n"
