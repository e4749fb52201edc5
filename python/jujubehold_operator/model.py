"""The service and instance classes with which operators describe a configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .errors import ConfigurationError, Fault
from .scram import make_verifier


class Confirm(Enum):
    """Which instances must have a write before it is acknowledged."""

    NONE = "none"
    """Only the primary has committed the write."""
    REPLICA = "replica"
    """A replica has received the write too, so that it survives the loss of the primary."""


class InstanceState(Enum):
    """Whether an instance accepts new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclass
class Instance:
    """One upstream instance of a service."""

    address: str
    """An IP number and a port, such as ``127.0.0.1:5432``; names are not looked up."""
    domain: str = "local"
    """The failure domain that the instance is in."""
    region: str = "local"
    """The region of that failure domain."""
    state: InstanceState = InstanceState.ACTIVE
    connections: int = 20
    """The maximum number of connections to the instance."""


@dataclass
class Service:
    """The configuration of one database service."""

    name: str
    """The service's name, which callers give as their database."""
    generation: int = 0
    """The generation that this configuration was built on; 0 for a new service."""
    confirm: Confirm = Confirm.REPLICA
    read_age_ms: int = 0
    """The maximum age of the data that a read returns; 0 requires current data."""
    slots: int = 3
    """The maximum number of statements that an instance runs at once."""
    queue: int = 64
    """The maximum number of requests that wait for a slot on one host."""
    statement_timeout_ms: int = 10_000
    preferred_primary: str | None = None
    """The instance that should be primary; ``None`` leaves the choice to the failover."""
    instances: dict[str, Instance] = field(default_factory=dict)
    callers: dict[str, str] = field(default_factory=dict)
    """The callers by name, with their verifiers; see :meth:`add_caller`."""

    def add_instance(self, name: str, instance: Instance) -> None:
        """Adds an instance.

        Raises :class:`ConfigurationError` if an instance of this name exists.
        """
        if name in self.instances:
            raise _fault(f"instance {name}", "the instance is there already", "take another name")
        self.instances[name] = instance

    def remove_instance(self, name: str) -> None:
        """Removes an instance, which must be leaving so that its running work can finish first.

        Raises :class:`ConfigurationError` if the instance is active or unknown.
        """
        if self._instance(name).state is not InstanceState.LEAVING:
            raise _fault(f"instance {name}", "the instance is active", "take it out first")
        del self.instances[name]

    def allow_read_age(self, *, ms: int) -> None:
        """Allows reads to return data that is up to ``ms`` milliseconds old."""
        self.read_age_ms = ms

    def take_out(self, name: str) -> None:
        """Takes an instance out of service: it gets no new work, but running work may finish."""
        self._instance(name).state = InstanceState.LEAVING

    def take_in(self, name: str) -> None:
        """Takes an instance back into service."""
        self._instance(name).state = InstanceState.ACTIVE

    def add_caller(self, name: str, password: str) -> None:
        """Adds a caller or changes its password; only a verifier of the password is stored."""
        self.callers[name] = make_verifier(password)

    def remove_caller(self, name: str) -> None:
        """Removes a caller."""
        if name not in self.callers:
            raise _fault("callers", f"there is no caller {name}", "name one of the callers")
        del self.callers[name]

    def _instance(self, name: str) -> Instance:
        if name not in self.instances:
            known = ", ".join(sorted(self.instances))
            raise _fault(f"instance {name}", "there is no such instance", f"name one of: {known}")
        return self.instances[name]


def _fault(section: str, problem: str, advice: str) -> ConfigurationError:
    return ConfigurationError([Fault(section, "", problem, advice)])
