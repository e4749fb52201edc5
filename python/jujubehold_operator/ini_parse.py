"""Parses a service from INI text, such as the output of ``jujubehold show``."""

import configparser
from collections.abc import Callable
from typing import TypeVar

from .check import find_faults
from .errors import ConfigurationError, Fault
from .model import Confirm, Instance, InstanceState, Service

_Value = TypeVar("_Value")

_SERVICE_KEYS = (
    "name",
    "generation",
    "confirm",
    "read_age_ms",
    "slots",
    "queue",
    "statement_timeout_ms",
    "preferred_primary",
)
_INSTANCE_KEYS = ("address", "domain", "region", "state", "connections")
_INSTANCE_PREFIX = "instance "


def parse_service(text: str) -> Service:
    """Returns the service that ``text`` describes.

    Raises :class:`ConfigurationError` with every fault if the text is invalid.
    """
    return _Parser(_read_ini(text)).service()


def _read_ini(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        delimiters=("=", ":"),
        comment_prefixes=("#", ";"),
        default_section="",
        empty_lines_in_values=False,
        interpolation=None,
    )
    # Keeps the case of keys; by default, keys are converted to lower case.
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text)
    except configparser.Error as error:
        advice = "write each section and key once, as [section] and key = value lines"
        raise ConfigurationError([Fault("", "", error.message, advice)]) from error
    return parser


def _parse_whole_number(text: str) -> int:
    # `int` accepts signs, underscores and non-ASCII digits, which the hosts reject.
    if not (text.isascii() and text.isdigit()):
        raise ValueError(text)
    return int(text)


class _Parser:
    """Reads the sections key by key and collects the faults."""

    def __init__(self, ini: configparser.ConfigParser) -> None:
        self._ini = ini
        self._faults: list[Fault] = []

    def service(self) -> Service:
        service = Service(name="")
        for section in self._ini.sections():
            if section == "service":
                self._read_service(service)
            elif section == "callers":
                service.callers = dict(self._ini[section])
            elif section.startswith(_INSTANCE_PREFIX):
                name = section.removeprefix(_INSTANCE_PREFIX).strip()
                service.instances[name] = self._read_instance(section)
            else:
                known = "write one of: service, instance NAME, callers"
                self._faults.append(Fault(section, "", "the section is unknown", known))
        # Values that could not be read have their defaults here, so none is reported twice.
        faults = self._faults + find_faults(service)
        if faults:
            raise ConfigurationError(faults)
        return service

    def _read_service(self, service: Service) -> None:
        section = "service"
        self._report_unknown_keys(section, _SERVICE_KEYS)
        service.name = self._read_value(section, "name", str, "")
        for key in ("generation", "read_age_ms", "slots", "queue", "statement_timeout_ms"):
            setattr(
                service,
                key,
                self._read_value(section, key, _parse_whole_number, getattr(service, key)),
            )
        service.confirm = self._read_value(section, "confirm", Confirm, service.confirm)
        service.preferred_primary = self._read_value(section, "preferred_primary", str, None)

    def _read_instance(self, section: str) -> Instance:
        self._report_unknown_keys(section, _INSTANCE_KEYS)
        default = Instance("")
        return Instance(
            address=self._read_value(section, "address", str, ""),
            domain=self._read_value(section, "domain", str, default.domain),
            region=self._read_value(section, "region", str, default.region),
            state=self._read_value(section, "state", InstanceState, default.state),
            connections=self._read_value(
                section, "connections", _parse_whole_number, default.connections
            ),
        )

    def _read_value(
        self, section: str, key: str, read: Callable[[str], _Value], default: _Value
    ) -> _Value:
        text = self._ini[section].get(key)
        if text is None:
            return default
        try:
            return read(text)
        except ValueError:
            advice = "write a whole number without a unit"
            if isinstance(read, type) and issubclass(read, (Confirm, InstanceState)):
                advice = "write " + " or ".join(choice.value for choice in read)
            self._faults.append(Fault(section, key, f"{text!r} can't be read", advice))
            return default

    def _report_unknown_keys(self, section: str, known: tuple[str, ...]) -> None:
        for key in self._ini[section]:
            if key not in known:
                advice = "write one of: " + ", ".join(known)
                self._faults.append(Fault(section, key, "the key is unknown", advice))
