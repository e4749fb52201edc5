"""Measures the resources that hosts use when each runs as its own process.

    python3 tools/host_costs.py target/release/jujubehold memory-by-hosts
    python3 tools/host_costs.py target/release/jujubehold memory-by-services
    python3 tools/host_costs.py target/release/jujubehold changes
    python3 tools/host_costs.py target/release/jujubehold restart
    python3 tools/host_costs.py target/release/jujubehold domain-restart

Each run starts stand-ins and hosts on loopback, reads the hosts' metrics pages, and prints the
measured points and a straight line fitted to them. Run it on a machine that may be loaded. See
docs/CAPACITY.md.
"""

from __future__ import annotations

import contextlib
import itertools
import random
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from pathlib import Path

HOST_COUNTS = [3, 6, 12, 24, 36]
SERVICE_COUNTS = [1, 2, 4, 8, 12]
HOSTS_BY_SERVICE_COUNT = 6
DOMAINS = ["delta", "piedmont", "gulf"]
TARGET_HOSTS = 92
TARGET_SERVICES = 10.5
SETTLE_S = 6.0
SETTLE_PER_HOST_S = 0.7
WATCH_S = 10.0
CHANGES = 20
PORTS = itertools.count(random.randrange(20000, 30000))


class Installation:
    """Stand-ins and hosts, each a process of its own."""

    def __init__(self, program: str, directory: Path, hosts: int, services: int, domains: int):
        self.program = program
        self.directory = directory
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.configurations: dict[str, str] = {}
        self.platform = self.start_platform()
        for index in range(services):
            self.start_service(f"service-{index}")
        self.places = [
            (f"host-{n:03}", DOMAINS[n % domains], free_address(), free_address())
            for n in range(hosts)
        ]
        for name, _, _, _ in self.places:
            self.start_host(name)

    def run(self, name: str, *arguments: str) -> None:
        self.processes[name] = subprocess.Popen(
            [self.program, *arguments], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )

    def stop(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def start_platform(self) -> str:
        address = free_address()
        self.run("platform", "standin-platform", "--listen", address)
        wait_for(address)
        return address

    def start_service(self, service: str) -> None:
        text = f"[service]\nname = {service}\ngeneration = 0\nqueue = QUEUE\n"
        primary: list[str] = []
        for index, domain in enumerate(DOMAINS):
            address = free_address()
            name = f"i{index}"
            self.run(
                f"{service}/{name}", "standin-database", "--name", name, "--listen", address,
                *primary,
            )
            wait_for(address)
            primary = primary or ["--primary", address]
            text += (
                f"\n[instance {name}]\naddress = {address}\ndomain = {domain}\n"
                "region = south\nstate = active\nconnections = 20\n"
            )
        self.configurations[service] = text
        self.submit(service, 0)

    def submit(self, service: str, generation: int) -> None:
        """Submits a service's configuration as the change that follows `generation`."""
        path = self.directory / f"{service}.ini"
        path.write_text(self.configurations[service].replace("QUEUE", str(64 + generation)))
        subprocess.run(
            [self.program, "submit", str(path), "--platform", self.platform,
             "--expect", str(generation)],
            check=True, stdout=subprocess.DEVNULL,
        )

    def start_host(self, name: str) -> None:
        _, domain, peer, metrics = next(place for place in self.places if place[0] == name)
        text = (
            f"[host]\nname = {name}\ndomain = {domain}\nregion = south\n"
            f"caller_address = {free_address()}\npeer_address = {peer}\n"
            f"metrics_address = {metrics}\nplatform_addresses = {self.platform}\n"
            "traffic_threads = 1\n"
        )
        for other, other_domain, other_peer, _ in self.places:
            if other != name:
                text += f"\n[peer {other}]\ndomain = {other_domain}\npeer_address = {other_peer}\n"
        path = self.directory / f"{name}.ini"
        path.write_text(text)
        self.run(name, "host", "--settings", str(path))

    def metric_sum(self, metric: str, without: str = "") -> float:
        """Returns the sum of a metric over all hosts except `without`."""
        return sum(value for name, value in self.metric_by_host(metric).items() if name != without)

    def metric_by_host(self, metric: str, label: str = "") -> dict[str, float]:
        """Returns a metric by host, summed over its series whose name contains `label`."""
        return {
            host: sum(
                value
                for name, value in read_metrics(metrics)
                if name.split("{", 1)[0] == metric and label in name
            )
            for host, _, _, metrics in self.places
        }


@contextlib.contextmanager
def installation(program: str, hosts: int, services: int, domains: int) -> Iterator[Installation]:
    with tempfile.TemporaryDirectory() as directory:
        running = Installation(program, Path(directory), hosts, services, domains)
        try:
            time.sleep(SETTLE_S + SETTLE_PER_HOST_S * hosts)
            yield running
        finally:
            for name in list(running.processes):
                running.stop(name)


def free_address() -> str:
    """Returns a free address below the ports that the system uses for outgoing connections."""
    while True:
        port = next(PORTS)
        with socket.socket() as listener, contextlib.suppress(OSError):
            listener.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"


def wait_for(address: str) -> None:
    host, port = address.rsplit(":", 1)
    for _ in range(200):
        with contextlib.suppress(OSError), socket.create_connection((host, int(port))):
            return
        time.sleep(0.05)
    raise SystemExit(f"nothing listens on {address}")


def read_metrics(address: str) -> list[tuple[str, float]]:
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=10) as answer:
        lines = answer.read().decode().splitlines()
    rows = (line.rsplit(" ", 1) for line in lines if line and not line.startswith("#"))
    return [(name, float(value)) for name, value in rows]


def format_fit(points: list[tuple[float, float]], target: float) -> str:
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    error = (residual / (count - 2) / spread) ** 0.5
    values = ", ".join(f"{x:g}: {y:.3f}" for x, y in points)
    return f"{values} | {intercept:.3f} | {slope:.4f} | {error:.4f} | {target:g} | " + (
        f"{intercept + slope * target:.3f}"
    )


def report(what: str, points: list[tuple[float, float]], target: float) -> None:
    print(f"| {what} | {format_fit(points, target)} |", flush=True)


def measure_idle(program: str, by: str) -> None:
    """Measures the memory and processor time of an idle host."""
    memory, processor = [], []
    for size in HOST_COUNTS if by == "hosts" else SERVICE_COUNTS:
        sizes = (size, 1, 1) if by == "hosts" else (HOSTS_BY_SERVICE_COUNT, size, len(DOMAINS))
        with installation(program, *sizes) as running:
            before = running.metric_sum("process_cpu_seconds_total")
            time.sleep(WATCH_S)
            used = running.metric_sum("process_cpu_seconds_total") - before
            resident = running.metric_sum("process_resident_memory_bytes")
        hosts = sizes[0]
        memory.append((float(size), resident / hosts / 1e6))
        processor.append((float(size), 100 * used / WATCH_S / hosts))
    target = TARGET_HOSTS if by == "hosts" else TARGET_SERVICES
    report(f"memory of a host (MB) by {by}", memory, target)
    report(f"processor of a quiet host (% of a core) by {by}", processor, target)


def measure_changes(program: str) -> None:
    """Measures what one change makes a host send: the maximum and the mean over all hosts."""
    metrics = ("jujubehold_control_messages_sent_total", "jujubehold_control_sent_bytes_total")
    rows: dict[str, list[tuple[float, float]]] = {}
    for size in HOST_COUNTS[1:]:
        with installation(program, size, 1, 1) as running:
            before = [running.metric_by_host(metric, 'kind="service"') for metric in metrics]
            for number in range(1, CHANGES + 1):
                running.submit("service-0", number)
                time.sleep(1)
            after = [running.metric_by_host(metric, 'kind="service"') for metric in metrics]
        for unit, old, new in zip(("copies", "bytes"), before, after, strict=True):
            sent = [(new[host] - old[host]) / CHANGES for host in new]
            rows.setdefault(f"{unit} of a change, the most", []).append((size, max(sent)))
            mean = sum(sent) / size
            rows.setdefault(f"{unit} of a change, on average", []).append((size, mean))
    for what, points in rows.items():
        report(what, points, TARGET_HOSTS)


def measure_restart(program: str) -> None:
    """Measures what the other hosts spend when one host is killed and restarted."""
    sent, processor = [], []
    metrics = ("jujubehold_control_sent_bytes_total", "process_cpu_seconds_total")
    for size in HOST_COUNTS:
        with installation(program, size, 1, 1) as running:
            restarted = running.places[-1][0]
            spent = []
            for is_restarted in (False, True):
                before = [running.metric_sum(metric, restarted) for metric in metrics]
                if is_restarted:
                    running.stop(restarted)
                    running.start_host(restarted)
                time.sleep(2 * WATCH_S)
                after = [running.metric_sum(metric, restarted) for metric in metrics]
                spent.append([b - a for a, b in zip(before, after, strict=True)])
        others = size - 1
        sent.append((float(size), (spent[1][0] - spent[0][0]) / others))
        processor.append((float(size), 1000 * (spent[1][1] - spent[0][1]) / others))
    report("bytes sent by another host for a restart", sent, TARGET_HOSTS)
    report("processor time of another host for a restart (ms)", processor, TARGET_HOSTS)


def measure_domain_restart(program: str) -> None:
    """Measures the platform calls when all hosts of a failure domain start at once."""
    calls = []
    for size in HOST_COUNTS:
        with installation(program, size, 1, 1) as running:
            calls.append((float(size), running.metric_sum("jujubehold_platform_calls_total")))
    report("calls of the platform's service by a domain that starts", calls, TARGET_HOSTS)


def main() -> None:
    runs = {
        "memory-by-hosts": lambda program: measure_idle(program, "hosts"),
        "memory-by-services": lambda program: measure_idle(program, "services"),
        "changes": measure_changes,
        "restart": measure_restart,
        "domain-restart": measure_domain_restart,
    }
    if len(sys.argv) != 3 or sys.argv[2] not in runs:
        raise SystemExit(__doc__)
    print("| what | points (size: value) | at 0 | slope | error | target size | at the target |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    runs[sys.argv[2]](sys.argv[1])


if __name__ == "__main__":
    main()
