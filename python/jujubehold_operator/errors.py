"""Faults of a configuration."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Fault:
    """One fault: its place, the problem, and what to write instead."""

    section: str
    key: str
    problem: str
    advice: str

    def __str__(self) -> str:
        place = f"[{self.section}] {self.key}".rstrip()
        return f"{place}: {self.problem}; {self.advice}"


class ConfigurationError(ValueError):
    """Raised for an invalid configuration; lists all its faults."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = tuple(faults)
