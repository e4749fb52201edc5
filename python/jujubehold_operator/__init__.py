"""Builds, checks and prints the configuration of jujubehold's database services.

Operators describe a service in Python, print it as INI, and submit that with
``jujubehold submit``::

    from jujubehold_operator import Instance, Service, format_service

    service = Service("greenville-shares")
    service.add_instance("a", Instance("127.0.0.1:5501", domain="greenville", region="delta"))
    service.allow_read_age(ms=1500)
    service.add_caller("clerk", password="correct horse battery staple")
    print(format_service(service), end="")

An invalid configuration raises :class:`ConfigurationError`, which lists every fault. The package
depends only on the standard library. See docs/CONFIGURATION.md for what each value means.
"""

from .errors import ConfigurationError, Fault
from .ini_format import format_service
from .ini_parse import parse_service
from .model import Confirm, Instance, InstanceState, Service
from .scram import make_verifier

__all__ = [
    "ConfigurationError",
    "Confirm",
    "Fault",
    "Instance",
    "InstanceState",
    "Service",
    "format_service",
    "make_verifier",
    "parse_service",
]
