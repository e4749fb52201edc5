"""Stand-ins of the platform, the instances and the clients for the review's scripts.

Everything runs on loopback addresses in the process of the script. The entry hosts are the project's own
program, each a process of its own. The stand-ins speak what the users' page on the wire says.
"""

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
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target" / "release" / "jujubehold"
MAX_LINE = 4 * 1024 * 1024
HEARTBEAT_S = 1.2
PROMOTE_S = 0.3
GIVEN_PORTS: set[int] = set()


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def short(text: str) -> str:
    """A long text as its ends and its length."""
    return text if len(text) <= 160 else f"{text[:60]}...{text[-60:]} ({len(text)} bytes)"


def free_ports(count: int) -> list[int]:
    """Ports that are free for TCP and UDP, below those that the system gives to connections."""
    found: list[int] = []
    while len(found) < count:
        port = random.SystemRandom().randrange(15000, 30000)
        with contextlib.suppress(OSError), socket.socket() as stream:
            stream.bind(("127.0.0.1", port))
            with socket.socket(type=socket.SOCK_DGRAM) as datagram:
                datagram.bind(("127.0.0.1", port))
                if port not in GIVEN_PORTS:
                    GIVEN_PORTS.add(port)
                    found.append(port)
    return found


def listener(port: int = 0, segment: int = 0, buffer: int = 0) -> socket.socket:
    """A listening socket; `segment` and `buffer` set the segment size and the receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if segment:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
    if buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
    sock.bind(("127.0.0.1", port))
    sock.listen(1024)
    sock.setblocking(False)
    return sock


class Store:
    """The platform's store and its promotion call, over HTTP."""

    def __init__(self, record: Record):
        self.record = record
        self.rev = 100
        self.items: dict[str, dict] = {}
        self.leases: dict[int, dict] = {}
        self.events: list[dict] = []
        self.changed = asyncio.Event()
        self.services: dict[str, Service] = {}
        self.next_lease = 1

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, sock=listener())
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    def put(self, key: str, value: bytes, lease: int = 0, rev: int | None = None) -> None:
        if rev is None:
            self.rev += 1
            rev = self.rev
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": rev,
            "created_rev": old["created_rev"] if old else rev,
            "lease_id": lease,
        }
        self.items[key] = item
        self.note(item)

    def remove(self, key: str, rev: int | None = None) -> None:
        if self.items.pop(key, None) is None:
            return
        if rev is None:
            self.rev += 1
            rev = self.rev
        self.note({"key": key, "revision": rev, "removed": True})

    def note(self, event: dict) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [one for one, state in self.leases.items() if state["until"] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease_id"] == lease]:
            self.record(f"store: {key} ends with its lease")
            self.remove(key)

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self.answer(method, target, headers, body)
                await asyncio.sleep(0.002)
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        writer.close()

    async def answer(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        document = json.loads(body) if body else {}
        if path == "/promotion":
            return self.promote(document, headers)
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at_rev": self.rev}
            return 200, {**item, "at_rev": self.rev}
        if path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "truncated": len(keys) > 500, "at_rev": self.rev}
        if path == "/-/kv-watch":
            prefix, after = query.get("prefix", ""), int(query["after"])
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                changed = self.changed
                found = [
                    e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at_rev": self.rev}
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(changed.wait(), left)
        if path == "/-/kv-txn":
            return self.commit(document)
        if path == "/-/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = document["ttl_ms"]
            self.leases[lease] = {"ttl": ttl, "until": time.monotonic() + ttl / 1000}
            return 200, {"lease_id": lease, "ttl_ms": ttl}
        if path.startswith("/-/kv-keep/"):
            state = self.leases.get(int(path.rsplit("/", 1)[1]))
            if state is None:
                return 404, {}
            state["until"] = time.monotonic() + state["ttl"] / 1000
            return 200, {"ttl_ms": state["ttl"]}
        if path.startswith("/-/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    def commit(self, document):
        expected = document.get("expected_rev", [])
        current = lambda key: self.items.get(key, {}).get("revision", 0)
        if any(current(row["key"]) != row["revision"] for row in expected):
            held = [self.items[row["key"]] for row in expected if row["key"] in self.items]
            return 412, {"items": held}
        writes = document.get("writes", [])
        if any(row["lease_id"] and row["lease_id"] not in self.leases for row in writes):
            return 404, {}
        self.rev += 1
        for row in writes:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease_id"], self.rev)
        for key in document.get("remove", []):
            self.remove(key, self.rev)
        return 200, {"revision": self.rev}

    def promote(self, document, headers):
        holder, token = headers.get("x-duty-holder"), headers.get("x-fence-token")
        self.record(f"platform: promotion of {document['id']} by {holder}, fence {token}")
        service = self.services.get(document["service"])
        instance = service.instances.get(document["id"]) if service else None
        if instance is None or not instance.runs:
            return 409, {}
        if instance is not service.primary:
            asyncio.get_running_loop().call_later(PROMOTE_S, service.lead, instance)
        return 200, {}


class Service:
    """A primary and its replicas."""

    def __init__(self, name: str, record: Record, max_conns: int = 21, slots: int = 3):
        self.name, self.record, self.max_conns, self.slots = name, record, max_conns, slots
        self.term = 1
        self.instances: dict[str, Instance] = {}
        self.primary: Instance | None = None
        # Every statement that an instance ran: (instance, id, text).
        self.runs: list[tuple[str, str, str]] = []
        self.work_s = 0.002
        # How many replicas must have received a commit before it is acknowledged.
        self.sync = 0

    def lead(self, instance: Instance) -> None:
        if not instance.runs:
            return
        self.term += 1
        self.record(f"platform: {instance.id} leads term {self.term} with {len(instance.log)} commits")
        instance.role, instance.term, instance.held = "primary", self.term, 0
        self.primary = instance
        for other in self.instances.values():
            if other is not instance:
                other.role, other.term = "replica", self.term
                other.log = other.log[: len(instance.log)]


class Instance:
    """One instance, behind a link that the script can cut."""

    def __init__(self, service: Service, name: str, zone: str, lag_s: float = 0.008):
        self.service, self.id, self.zone, self.lag_s = service, name, zone, lag_s
        self.role, self.term, self.held = "replica", service.term, 0
        # The term, the item, its data and the id of the statement that committed it.
        self.log: list[tuple[int, str, str, str]] = []
        self.runs = True
        # Whether it receives nothing of the primary's log, though it answers.
        self.is_deaf = False
        self.tasks_of_connections: set[asyncio.Task] = set()
        self.connections = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(service.slots)
        service.instances[name] = self

    async def start(self, store: Store, link: Link | None = None) -> None:
        self.server = await asyncio.start_server(self.serve, sock=listener(), limit=MAX_LINE)
        port = self.server.sockets[0].getsockname()[1]
        if link is not None:
            await link.start(port)
            port = link.port
        self.address = f"127.0.0.1:{port}"
        self.store = store
        self.beat()
        self.tasks = [asyncio.create_task(self.beats()), asyncio.create_task(self.follow())]

    def beat(self) -> None:
        self.sequence += 1
        entry = {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": self.service.slots,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
            "db_role": self.role,
        }
        self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def beats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.runs:
                self.beat()

    async def follow(self) -> None:
        loop = asyncio.get_running_loop()
        sent = 0
        while True:
            await asyncio.sleep(0.001)
            primary = self.service.primary
            sent = max(min(sent, len(primary.log)), len(self.log))
            if primary is self or not primary.runs or not self.is_receiving():
                sent = len(self.log)
            elif primary.log[sent:]:
                loop.call_later(self.lag_s, self.receive, primary, primary.log[sent:], sent)
                sent = len(primary.log)

    def is_receiving(self) -> bool:
        return (
            self.runs
            and not self.is_deaf
            and self.role == "replica"
            and self.held <= self.term
        )

    def receive(self, primary: Instance, commits: list, at: int) -> None:
        """Takes what the primary sent; what is on its way when an instance ends is lost."""
        if primary is self.service.primary and primary.runs and self.is_receiving():
            if len(self.log) == at:
                self.term = primary.term
                self.log.extend(commits)

    def crash(self) -> None:
        self.service.record(f"{self.id} crashes with {len(self.log)} commits")
        self.runs = False
        for task in list(self.tasks_of_connections):
            task.cancel()

    def restart(self, is_reborn: bool) -> None:
        """Starts again, with the log, or under the same id knowing nothing of before."""
        self.runs, self.held = True, 0
        if self.service.primary is not self:
            self.role = "replica"
        if is_reborn:
            self.log, self.term, self.sequence = [], 0, 0
        self.born = int(time.time() * 1000)
        self.service.record(f"{self.id} runs again as {self.role} with {len(self.log)} commits")
        self.beat()

    def position(self) -> tuple[int, int]:
        return (self.log[-1][0] if self.log else self.term, len(self.log))

    def value(self, item: str) -> str:
        for _, name, data, _ in reversed(self.log):
            if name == item:
                return data
        return ""

    async def serve(self, reader, writer) -> None:
        if not self.runs:
            writer.transport.abort()
            return
        connection = Connection(self)
        task = asyncio.current_task()
        self.tasks_of_connections.add(task)
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                answer = await connection.answer(line[:-2].decode())
                if answer is None:
                    break
                writer.write(answer.encode())
                await writer.drain()
                if connection.refused:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.tasks_of_connections.discard(task)
            connection.close()
            writer.close()


class Connection:
    """A connection to an instance."""

    count = 0

    def __init__(self, instance: Instance):
        Connection.count += 1
        self.number = Connection.count
        self.instance, self.service = instance, instance.service
        self.begun: str | None = None
        self.term = 0
        self.writes: list[tuple[str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.refused = False
        self.is_counted = False

    def close(self) -> None:
        if self.is_counted:
            self.instance.connections -= 1
            self.is_counted = False
        if self.begun:
            self.instance.service.record(f"{self.instance.id}: connection {self.number} rolls back")

    def ready(self) -> str:
        state = "T" if self.begun else "I"
        term, number = self.instance.position()
        return f"READY {state} {term}.{number}\r\n"

    def error(self, code: str) -> str:
        return f"ERROR {code} {self.instance.id}\r\n" + self.ready()

    def done(self, query: str, rows=()) -> str:
        mac = "-" if query == "-" else f"{self.instance.id}.{query}"
        return "".join(f"ROW {row}\r\n" for row in rows) + f"COMPLETE {mac}\r\n" + self.ready()

    async def answer(self, line: str) -> str | None:
        word, _, rest = line.partition(" ")
        instance = self.instance
        if word == "START":
            fields = rest.split(" ")
            if fields[0] != self.service.name or fields[2:] not in ([], [instance.id]):
                self.refused = True
                return f"ERROR WRONGNODE {instance.id}\r\n"
            if instance.connections >= self.service.max_conns:
                self.refused = True
                return f"ERROR CONNLIMIT {instance.id}\r\n"
            instance.connections += 1
            self.is_counted = True
            async with instance.slots:
                await asyncio.sleep(0.003)
            return self.ready()
        if word != "QUERY":
            return None
        query, _, text = rest.partition(" ")
        return await self.query(query, text)

    async def query(self, query: str, text: str) -> str | None:
        instance, service = self.instance, self.service
        full = text
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            have = instance.position()
            if have[1] < int(number) or have[0] < int(term):
                return self.error("LAGGING")
        word, _, rest = text.partition(" ")
        if query == "-":
            return self.command(word, rest)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.error("NOSTMT")
            kind, _, shape = self.prepared[name].partition(" ")
            run = f"EXECUTE {kind} {shape} {rest}"
            word = kind
        else:
            run = text
        if word == "BEGIN":
            if rest != "READ" and instance.role != "primary":
                return self.error("RDONLY")
            self.begun, self.term, self.writes = rest or "WRITE", instance.term, []
            service.record(f"{instance.id}: connection {self.number} runs {query} {text}")
            return self.done(query)
        if word == "ROLLBACK":
            self.begun, self.writes = None, []
            return self.done(query)
        async with instance.slots:
            await asyncio.sleep(service.work_s)
        lost = instance.role != "primary" or (self.begun == "WRITE" and self.term != instance.term)
        if word in ("READ", "WRITE", "COMMIT"):
            if lost and (word == "WRITE" or self.begun == "WRITE"):
                if word == "COMMIT":
                    self.begun, self.writes = None, []
                return self.error("RDONLY")
            service.record(
                f"{instance.id}: connection {self.number} runs {query} {short(full)}"
            )
            service.runs.append((instance.id, query, run))
        if word == "READ":
            item = rest.split(" ")[0]
            own = [data for name, data in self.writes if name == item]
            return self.done(query, [own[-1] if own else instance.value(item)])
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            if self.begun:
                self.writes.append((item, data))
            else:
                instance.log.append((instance.term, item, data, query))
                await self.confirm()
            return self.done(query)
        if word == "COMMIT":
            for item, data in self.writes:
                instance.log.append((instance.term, item, data, query))
            has_written, self.begun, self.writes = bool(self.writes), None, []
            if has_written:
                await self.confirm()
            return self.done(query)
        return self.error("MALFORMED")

    async def confirm(self) -> None:
        """Waits until as many replicas as the service asks for have received the newest commit."""
        instance, others = self.instance, self.service.instances.values()
        at, entry = len(instance.log), instance.log[-1]
        while True:
            holders = [o for o in others if o is not instance and o.log[at - 1 : at] == [entry]]
            if len(holders) >= self.service.sync:
                if holders and self.service.sync:
                    # The replica's word takes as long on its way back.
                    await asyncio.sleep(min(holder.lag_s for holder in holders))
                return
            await asyncio.sleep(0.001)

    def command(self, word: str, rest: str) -> str | None:
        instance = self.instance
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif word == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
        elif word == "DEALLOC":
            self.prepared.pop(rest, None)
        elif word == "RESET":
            self.values, self.prepared = {}, {}
        elif word == "ROLLBACK":
            self.begun, self.writes = None, []
        elif word == "PAUSE" and instance.role == "replica":
            instance.held = max(instance.held, int(rest))
        elif word == "RESUME":
            instance.held = 0
        elif word == "STEPDOWN" and int(rest) > instance.term:
            instance.role = "replica"
        elif word not in ("STATUS", "PAUSE", "STEPDOWN"):
            return self.error("MALFORMED")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            term, number = instance.position()
            row = f"{instance.role} {instance.term} {term}.{number} {instance.held} 0 0 {instance.connections}"
            return self.done("-", [row])
        return self.done("-")


class Link(asyncio.Protocol):
    """A proxy before an instance. It can hold back what certain hosts send, as a cut of their path does.

    It has the segment size of an Ethernet and a receive buffer of 8 KiB, so that the sender notices a
    path on which nothing gets through.
    """

    def __init__(self):
        self.cut_hosts: set[str] = set()
        self.ends: list[LinkEnd] = []

    async def start(self, target: int) -> None:
        self.target = target
        loop = asyncio.get_running_loop()
        sock = listener(segment=1400, buffer=8 * 1024)
        self.server = await loop.create_server(lambda: LinkEnd(self), sock=sock)
        self.port = sock.getsockname()[1]

    def cut(self, hosts) -> None:
        self.cut_hosts = set(hosts)
        for end in list(self.ends):
            end.update()

    def heal(self) -> None:
        self.cut(())


class LinkEnd(asyncio.Protocol):
    """The side of a link that a host has opened."""

    def __init__(self, link: Link):
        self.link, self.host = link, ""
        self.first = b""
        self.queue: list[bytes] = []
        self.far: LinkFarEnd | None = None
        self.back: list[bytes] = []
        self.is_closed = False

    @property
    def is_cut(self) -> bool:
        return self.host in self.link.cut_hosts

    def connection_made(self, transport) -> None:
        self.near = transport
        self.link.ends.append(self)
        asyncio.ensure_future(self.connect())

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, self.far = await loop.create_connection(
                lambda: LinkFarEnd(self), "127.0.0.1", self.link.target
            )
        except OSError:
            self.near.abort()
            return
        self.update()

    def data_received(self, data: bytes) -> None:
        if not self.host:
            self.first += data
            if b"\r\n" in self.first:
                self.host = self.first.split(b"\r\n")[0].split(b" ")[2].decode()
        self.queue.append(data)
        self.update()

    def update(self) -> None:
        if self.is_closed:
            return
        if self.is_cut or self.far is None:
            self.near.pause_reading()
            return
        for data in self.queue:
            self.far.transport.write(data)
        self.queue = []
        for data in self.back:
            self.near.write(data)
        self.back = []
        self.near.resume_reading()

    def connection_lost(self, error) -> None:
        self.is_closed = True
        self.link.ends.remove(self)
        if self.far is not None:
            for data in self.queue if error is None else []:
                self.far.transport.write(data)
            self.far.transport.close()


class LinkFarEnd(asyncio.Protocol):
    """The side of a link that leads to the instance."""

    def __init__(self, end: LinkEnd):
        self.end = end

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.end.back.append(data)
        self.end.update()

    def connection_lost(self, error) -> None:
        if not self.end.is_closed:
            self.end.near.close()


class Host:
    """One entry host, started with the command of the deploy file."""

    def __init__(self, world: World, name: str, zone: str):
        self.world, self.name, self.zone = world, name, zone
        self.front, self.ready, self.peer, self.metrics = free_ports(4)
        self.process: asyncio.subprocess.Process | None = None
        self.first_start = True

    async def start(self) -> None:
        bounds, store = self.world.bounds, self.world.store
        lines = {
            "name": self.name,
            "domain": self.zone,
            "caller_address": f"127.0.0.1:{self.front}",
            "readiness_address": f"127.0.0.1:{self.ready}",
            "peer_address": f"127.0.0.1:{self.peer}",
            "metrics_address": f"127.0.0.1:{self.metrics}",
            "store_address": store.address,
            "promotion_address": store.address,
            "drain_timeout_s": bounds["grace_s"],
            "first_start": "true" if self.first_start else "false",
        }
        text = "[entry]\n" + "".join(f"{key} = {value}\n" for key, value in lines.items())
        file = self.world.temp / f"{self.name}.ini"
        file.write_text(text)
        self.first_start = False
        log = (self.world.temp / f"{self.name}.log").open("a")
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM),
            "entry",
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "JUJUBEHOLD_BOOT": str(file)},
            stdout=log,
            stderr=log,
        )

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200" in line
        except OSError:
            return False


class World:
    """A deployment on loopback."""

    def __init__(self, folder: Path):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM} is not built")
        self.record = Record(folder)
        self.temp = Path(tempfile.mkdtemp(prefix="jujubehold-review-"))
        self.bounds = {"grace_s": 6}
        self.store = Store(self.record)
        self.hosts: list[Host] = []
        self.version = 1

    def configure(self, service: Service, routes: list[dict], tenants=None, sync: int = 0) -> None:
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": service.name, "max_conns": service.max_conns, "sync_replicas": sync}
            ],
            "limits": {"tx_idle_ms": 3000},
        }
        if tenants is not None:
            document["tenants"] = tenants
        self.version += 3
        self.store.put("op/config", json.dumps(document).encode())

    async def wait_ready(self, hosts, limit_s: float = 25) -> None:
        until = time.monotonic() + limit_s
        for host in hosts:
            while not await host.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{host.name} is not ready")
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                await host.process.wait()
        shutil.rmtree(self.temp, ignore_errors=True)


class Client:
    """A client's session."""

    def __init__(self, world: World, name: str):
        self.world, self.name, self.count = world, name, 0

    async def open(self, host: Host, database: str, key: str = "key") -> str:
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", host.front, limit=MAX_LINE
        )
        self.writer.write(f"START {database} {key}\r\n".encode())
        return (await self.line()) or "closed"

    async def line(self) -> str:
        return (await self.reader.readline()).decode().rstrip("\r\n")

    async def ask(self, text: str) -> tuple[list[str], str, str]:
        """Sends a statement; returns the rows, the outcome and the READY line."""
        self.count += 1
        query = f"{self.name}{self.count}"
        self.world.record(f"client {self.name}: sends {query} {short(text)}")
        self.writer.write(f"QUERY {query} {text}\r\n".encode())
        rows: list[str] = []
        outcome = ""
        while True:
            line = await self.line()
            if not line:
                self.world.record(f"client {self.name}: {query}: connection closed")
                return rows, outcome or "CLOSED", "CLOSED"
            if line.startswith("ROW "):
                rows.append(line[4:])
            elif line.startswith("READY "):
                self.world.record(f"client {self.name}: {query}: {short(outcome)}; {line}")
                return rows, outcome, line
            else:
                outcome = line

    def close(self) -> None:
        self.writer.close()


def run_case(folder: Path, case) -> None:
    """Runs a case, which returns whether the rule held, and ends the process with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        world = World(folder)
        playing = asyncio.ensure_future(case(world, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            held = await asyncio.wait_for(playing, 110)
        finally:
            await world.stop()
        world.record("the rule held" if held else "the rule was broken")
        print("held" if held else "broken")
        return 0 if held else 1

    try:
        result = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
        result = 2
    sys.stdout.flush()
    os._exit(result)
