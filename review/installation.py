"""A small installation on loopback: the store, one database service and entry hosts as processes."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import sys
import time
import traceback
from pathlib import Path
from typing import Awaitable, Callable

from database import Group, Instance
from store import HttpServer, Item, Store

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "release" / "jujubehold"
# As in the site tscsra-hold.
HOSTS = ["greenville", "greenville", "greenville", "salisbury", "salisbury", "mobile"]
GRACE_S = 6
SERVICE = "dbase1"
ROUTES = {
    "book": ("primary", 0, 1000, 600),
    "look": ("bounded_staleness", 1500, 2000, 1200),
    "state": ("read_your_writes", 2500, 1000, 1000),
}


# Ports that were given.
GIVEN_PORTS: set[int] = set()


def free_port() -> int:
    """Returns a port that is free for TCP and UDP, below those that the system gives to connections."""
    while True:
        port = random.SystemRandom().randrange(15_000, 30_000)
        if port in GIVEN_PORTS:
            continue
        with contextlib.suppress(OSError), socket.socket() as stream:
            stream.bind(("127.0.0.1", port))
            with socket.socket(type=socket.SOCK_DGRAM) as datagram:
                datagram.bind(("127.0.0.1", port))
                GIVEN_PORTS.add(port)
                return port


class Relay(asyncio.DatagramProtocol):
    """The way of the other hosts' datagrams to one host. It drops what comes while the host is cut off, and
    what comes from a host that is cut off."""

    def __init__(self, target: tuple[str, int], cut_ports: set[int]):
        self.target = target
        self.cut_ports = cut_ports
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        if address[1] not in self.cut_ports and self.target[1] not in self.cut_ports:
            self.transport.sendto(data, self.target)


class Host:
    """One entry host and its process."""

    def __init__(self, index: int, zone: str, store_port: int, promotion_port: int):
        self.name = f"front-{zone}-{index}"
        self.zone = zone
        self.store_port = store_port
        self.promotion_port = promotion_port
        self.caller_port = free_port()
        self.ready_port = free_port()
        self.peer_port = free_port()
        self.metrics_port = free_port()
        self.relay_port = 0
        self.process: subprocess.Popen[bytes] | None = None


class Installation:
    """All of it. `record` writes a line of the record."""

    def __init__(self, folder: Path, sync_replicas: int, record_name: str = "record.txt"):
        self.record_file = (folder / record_name).open("w")
        self.began_at = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.sync_replicas = sync_replicas
        self.group = Group(self.store, SERVICE, sync_replicas, self.record)
        self.hosts: list[Host] = []
        self.store_servers: list[HttpServer] = []
        self.tasks: list[asyncio.Task[None]] = []
        # The datagram ports of the hosts that are cut off.
        self.cut_ports: set[int] = set()
        self.is_over = False

    def now(self) -> float:
        return time.monotonic() - self.began_at

    def record(self, what: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record_file.write(f"{self.now():9.4f} {what} {text}\n")

    async def start(self) -> None:
        self.tasks.append(asyncio.create_task(self.store.expire_leases()))
        promotion = HttpServer(self.group.promote)
        promotion_port = free_port()
        await promotion.start("127.0.0.1", promotion_port)
        for index, zone in enumerate(HOSTS):
            server = HttpServer(self.handle_store, lambda: f"Store-Era: {self.store.era}\r\n")
            port = free_port()
            await server.start("127.0.0.1", port)
            self.store_servers.append(server)
            host = Host(index + 1, zone, port, promotion_port)
            self.hosts.append(host)
            target = ("127.0.0.1", host.peer_port)
            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda target=target: Relay(target, self.cut_ports), local_addr=("127.0.0.1", free_port())
            )
            host.relay_port = transport.get_extra_info("sockname")[1]

    async def handle_store(
        self, method: str, target: str, _headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        # A host states in its entry where the others reach it: by its relay.
        for host in self.hosts:
            if target == "/-/kv-txn":
                body = self.state_relay(body, host)
        return await self.store.handle(method, target, body)

    def state_relay(self, body: bytes, host: Host) -> bytes:
        call = json.loads(body)
        for row in call.get("writes") or []:
            if row["key"] == f"jh/host/{host.name}":
                value = base64.b64decode(row["value"]).decode()
                own, relay = f"127.0.0.1:{host.peer_port} ", f"127.0.0.1:{host.relay_port} "
                row["value"] = base64.b64encode(value.replace(own, relay).encode()).decode()
        return json.dumps(call).encode()

    def cut_host(self, host: Host, is_cut: bool) -> None:
        """Cuts a host off from the store and from all other hosts, not from instances and callers."""
        self.store_servers[self.hosts.index(host)].is_cut = is_cut
        (self.cut_ports.add if is_cut else self.cut_ports.discard)(host.peer_port)
        self.record("cut off" if is_cut else "no longer cut off", host=host.name)

    def restore_store(self, copy: tuple[int, dict[str, Item]], version: int) -> None:
        """Restores the store from a copy; the operator and the instances write again what they wrote."""
        self.store.restore(copy)
        self.record("store restored", revision=copy[0], era=self.store.era)
        self.configure(version)
        for instance in self.group.instances.values():
            if instance.is_alive:
                instance.publish()

    def configure(self, version: int) -> None:
        routes = [
            {
                "name": f"r-{name}",
                "host": name,
                "prefix": "/",
                "route_type": kind,
                "timeout_ms": timeout,
                "slo_ms": slo,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 2,
                "max_staleness_ms": age,
            }
            for name, (kind, age, timeout, slo) in ROUTES.items()
        ]
        services = [{"name": SERVICE, "max_conns": 21, "sync_replicas": self.sync_replicas}]
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {"tx_idle_ms": 3000},
        }
        self.store.put_document("op/config", document)

    async def add_instance(self, name: str, zone: str, delay_s: float, role: str) -> Instance:
        instance = Instance(self.group, name, zone, "127.0.0.1", free_port(), delay_s, role)
        instance.born_ms = int(time.time() * 1000)
        self.group.add(instance)
        await instance.start()
        self.record("instance started", instance=name, zone=zone, role=role)
        return instance

    def start_host(self, host: Host, is_first_start: bool) -> None:
        """Starts the host with the settings of deploy/entry.ini and the command of the deploy file."""
        values = {
            "node_name": host.name,
            "zone": host.zone,
            "listen.front": f"127.0.0.1:{host.caller_port}",
            "listen.ready": f"127.0.0.1:{host.ready_port}",
            "{{ip}}:{{internal_ports.0}}": f"127.0.0.1:{host.peer_port}",
            "{{ip}}:9464": f"127.0.0.1:{host.metrics_port}",
            "platform.address": f"127.0.0.1:{host.store_port}",
            "cloud_api.address": f"127.0.0.1:{host.promotion_port}",
            "bounds.grace_s": str(GRACE_S),
            "first_start": "true" if is_first_start else "false",
        }
        text = (ROOT / "deploy" / "entry.ini").read_text()
        for name, value in values.items():
            text = text.replace(name if name.startswith("{{") else "{{" + name + "}}", value)
        # The installation has no quotas: the placeholders that are left have no value.
        lines = [line for line in text.splitlines() if "{{" not in line]
        settings = self.folder / f"{host.name}.ini"
        settings.write_text("\n".join(lines) + "\n")
        log = (self.folder / f"{host.name}.log").open("ab")
        host.process = subprocess.Popen(
            [str(PROGRAM), "entry"],
            cwd=ROOT,
            env={**os.environ, "JUJUBEHOLD_BOOT": str(settings)},
            stdout=log,
            stderr=log,
        )
        self.record("host started", host=host.name)

    async def wait_until_ready(self, host: Host, timeout_s: float = 15.0) -> bool:
        give_up_at = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at:
            if await self.is_ready(host):
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self, host: Host) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", host.ready_port)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def end(self, tasks: list[asyncio.Task[None]]) -> None:
        """Ends the callers and what was planned."""
        self.is_over = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self) -> None:
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGKILL)
                host.process.wait()
        for task in self.tasks:
            task.cancel()
        # Connections that are still served must not write any more.
        self.record_file, closed = open(os.devnull, "w"), self.record_file
        closed.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Caller:
    """A caller's session, which connects again after a close."""

    def __init__(self, installation: Installation, host: Host, database: str):
        self.installation = installation
        self.host = host
        self.database = database
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> bool:
        try:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.host.caller_port
            )
            self.writer.write(f"START {self.database} review\r\n".encode())
            line = await asyncio.wait_for(self.reader.readline(), 2.0)
        except (OSError, asyncio.TimeoutError):
            line = b""
        if not line.startswith(b"READY"):
            self.close()
            return False
        return True

    async def query(self, text: str) -> tuple[str, list[str]]:
        """Returns the line with the outcome, empty without an answer, and the rows."""
        if self.writer is None and not await self.open():
            return "", []
        request = f"{random.getrandbits(64):016x}"
        self.installation.record("sent", host=self.host.name, request=request, text=text)
        rows: list[str] = []
        outcome = ""
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            while True:
                raw = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 4.0)
                line = raw.decode().strip()
                if line.startswith("READY"):
                    break
                if line.startswith("ROW "):
                    rows.append(line[4:])
                else:
                    outcome = line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            outcome = ""
        shown = outcome or "no answer"
        self.installation.record(
            "answered", request=request, outcome=json.dumps(shown), rows=",".join(rows)
        )
        return outcome, rows

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


TIME_LIMIT_S = 100


async def run_case(
    installation: Installation, play: Callable[[Installation], Awaitable[int]]
) -> int:
    """Plays a case, and ends all processes that it started. Returns 2 if it could not be played."""
    playing = asyncio.ensure_future(play(installation))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    try:
        return await asyncio.wait_for(playing, TIME_LIMIT_S)
    except (Exception, asyncio.CancelledError):
        print("the case can't run:")
        traceback.print_exc(file=sys.stdout)
        return 2
    finally:
        installation.stop()


def run(
    folder: Path,
    sync_replicas: int,
    play: Callable[[Installation], Awaitable[int]],
    record_name: str = "record.txt",
) -> int:
    """Runs the case of `folder` and returns its exit code."""

    async def main() -> int:
        return await run_case(Installation(folder, sync_replicas, record_name), play)

    if not PROGRAM.exists():
        print("the program is not built")
        return 2
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc(file=sys.stdout)
        return 2
