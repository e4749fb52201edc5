"""Stand-ins for the scripts of the second review: the platform's store, its promotion call, database
instances, and the processes of the entry hosts.

Everything listens on loopback. One asyncio loop runs the stand-ins; the hosts are processes of the
program that the deploy file builds, started with the deploy file's command and settings in the form
of deploy/entry.ini.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import random
import socket
import subprocess
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target" / "release" / "jujubehold"
MAX_LINE_BYTES = 1024 * 1024 + 2
HEARTBEAT_S = 1.2
# How late replicas apply and receive commits.
REPLICATION_S = 0.008
PROMOTE_S = 0.3
# How long a replaced primary goes on once it can reach the new one.
OLD_PRIMARY_S = 1.0
# How long a case may take; the hosts are ended after that.
CASE_LIMIT_S = 100


class SetupError(Exception):
    """The case can't be run here."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.begun_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{time.monotonic() - self.begun_at:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def free_port():
    """Returns a port that is free for TCP and UDP, below those of outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(15000, 30000)
        with contextlib.suppress(OSError), socket.socket() as stream:
            stream.bind(("127.0.0.1", port))
            with socket.socket(type=socket.SOCK_DGRAM) as datagram:
                datagram.bind(("127.0.0.1", port))
                return port


class HttpServer:
    """A minimal HTTP/1.1 server. `respond` returns a status and a JSON body."""

    def __init__(self, respond):
        self.respond = respond
        self.port = free_port()

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while await self.serve_one(reader, writer):
                pass
        writer.close()

    async def serve_one(self, reader, writer):
        head = await reader.readline()
        if not head:
            return False
        method, target, _ = head.decode().split(" ", 2)
        headers = {}
        while True:
            line = (await reader.readline()).decode().strip()
            if not line:
                break
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = json.loads(await reader.readexactly(length)) if length else {}
        status, answer = await self.respond(method, target, headers, body)
        data = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        return True


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 70000
        self.changed = asyncio.Event()
        self.server = HttpServer(self.respond)

    async def start(self):
        await self.server.start()
        asyncio.ensure_future(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [one for one, (until, _) in self.leases.items() if until < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease_id"] == lease]
        if keys:
            self.change([], keys)

    def change(self, writes, removals):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items.get(key, {}).get("created_rev", self.revision)
            item = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created_rev": created,
                "lease_id": lease,
            }
            self.items[key] = item
            self.events.append(item)
        for key in removals:
            if self.items.pop(key, None):
                self.events.append({"key": key, "revision": self.revision, "removed": True})
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.revision

    def put(self, key, document):
        """Writes a document as the operator or an instance does."""
        text = json.dumps(document, separators=(",", ":")).encode()
        return self.change([(key, base64.b64encode(text).decode(), 0)], [])

    def remove(self, key):
        """Removes an item if it is there."""
        if key in self.items:
            self.change([], [key])

    async def respond(self, method, target, _headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.002)
        if url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            at = {"at_rev": self.revision}
            return (200, {**item, **at}) if item else (404, at)
        if url.path == "/-/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "truncated": len(keys) > 500, "at_rev": self.revision}
        if url.path == "/-/kv-watch":
            return await self.watch(query)
        if url.path == "/-/kv-txn":
            return self.transact(body)
        if url.path == "/-/kv-lease":
            self.next_lease += 1
            until = time.monotonic() + body["ttl_ms"] / 1000
            self.leases[self.next_lease] = (until, body["ttl_ms"])
            return 200, {"lease_id": self.next_lease, "ttl_ms": body["ttl_ms"]}
        if url.path.startswith("/-/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": ttl_ms}
        if method == "DELETE" and url.path.startswith("/-/kv-lease-end/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease in self.leases:
                self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        give_up_at = time.monotonic() + int(query["wait_ms"]) / 1000
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining = give_up_at - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), remaining)

    def transact(self, body):
        expected = body.get("expected_rev", [])
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        for row in expected:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in current.values() if item]}
        writes = [(row["key"], row["value"], row.get("lease_id", 0)) for row in body.get("writes", [])]
        if any(lease and lease not in self.leases for _, _, lease in writes):
            return 404, {}
        return 200, {"revision": self.change(writes, body.get("remove", []))}


class Instance:
    """One instance of a database group."""

    def __init__(self, group, name, is_primary):
        self.group = group
        self.id = name
        self.is_primary = is_primary
        self.term = 1
        self.held_term = 0
        # The commits: each a list of (item, data).
        self.log = []
        self.port = free_port()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.connections = 0
        self.zone = "zone-a"
        # How late the instance receives a commit.
        self.receive_s = REPLICATION_S
        self.is_down = False
        # The hosts between which and the instance nothing passes.
        self.cut_from = set()
        self.server = None
        self.writers = set()
        # Reconsidered for each statement: how long it takes, by its text.
        self.work_s = lambda text: 0.004

    @property
    def position(self):
        return f"{self.term}.{len(self.log)}"

    async def start(self):
        await self.listen()
        asyncio.ensure_future(self.beat())

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=2 * MAX_LINE_BYTES
        )
        self.report()

    def crash(self):
        """Ends the instance: its connections break, and it reports nothing. The platform removes its
        entry after three heartbeats of silence."""
        self.is_down = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def come_back(self):
        """Starts the instance again with its log, as a replica if another one was promoted."""
        self.is_down = False
        if any(one.is_primary and one.term > self.term for one in self.group.instances):
            self.is_primary = False
        await self.listen()

    def report(self):
        self.sequence += 1
        self.reported_at = time.monotonic()
        self.group.store.put(f"servers/{self.id}", {
            "service": self.group.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 3, "state": "ready", "warmup_left_ms": 0,
            "db_role": "primary" if self.is_primary else "replica", "sequence": self.sequence,
            "born": self.born,
        })

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_down:
                self.report()
            elif time.monotonic() - self.reported_at > 3 * HEARTBEAT_S:
                self.group.store.remove(f"servers/{self.id}")

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()

    def status(self):
        role = "primary" if self.is_primary else "replica"
        return f"{role} {self.term} {self.position} {self.held_term} 8 0 {self.connections}"

    async def commit(self, writes):
        """Appends a commit, and waits until as many replicas have received it as the service asks."""
        self.log.append(writes)
        number = len(self.log)
        while True:
            others = [one for one in self.group.instances if one is not self and not one.is_down]
            if sum(len(one.log) >= number for one in others) >= self.group.sync_replicas:
                return
            await asyncio.sleep(0.001)

    def value(self, item):
        for writes in reversed(self.log):
            for name, data in reversed(writes):
                if name == item:
                    return data
        return None


class Connection:
    """One connection to an instance."""

    def __init__(self, instance, reader, writer):
        self.instance = instance
        self.reader = reader
        self.writer = writer
        self.transaction = None
        self.is_read_only = False
        self.values = {}
        self.prepared = {}

    def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def ready(self):
        state = "I" if self.transaction is None else "T"
        return f"READY {state} {self.instance.position}"

    async def line(self):
        data = await self.reader.readline()
        if not data.endswith(b"\r\n"):
            raise ConnectionError
        return data[:-2].decode()

    async def run(self):
        word, service, who, *expected = (await self.line()).split(" ")
        await self.wait_for_path(who)
        group = self.instance.group
        if word != "START" or service != group.service or expected not in ([], [self.instance.id]):
            self.send(f"ERROR WRONGNODE {self.instance.id}")
            return
        self.send(self.ready())
        while True:
            word, request, text = (await self.line()).split(" ", 2)
            after = None
            if text.startswith("AFTER "):
                _, after, text = text.split(" ", 2)
            await self.wait_for_path(who)
            await self.query(request, after, text)
            await self.writer.drain()

    async def wait_for_path(self, who):
        """Holds a message back as long as the instance is cut from the host that sent it."""
        while who in self.instance.cut_from:
            await asyncio.sleep(0.02)

    def error(self, code):
        self.send(f"ERROR {code} {self.instance.id}", self.ready())

    async def complete(self, request, rows=()):
        digest = hashlib.sha256(f"{request} {self.instance.id}".encode())
        for row in rows:
            digest.update(row.encode())
            self.send(f"ROW {row}")
            await self.writer.drain()
        proof = "-" if request == "-" else digest.hexdigest()[:24]
        self.send(f"COMPLETE {proof}", self.ready())

    async def query(self, request, after, text):
        instance = self.instance
        word, _, rest = text.partition(" ")
        if after:
            term, number = map(int, after.split("."))
            if instance.term < term or len(instance.log) < number:
                return self.error("LAGGING")
        if request == "-" and word not in ("SET", "PREPARE", "RESET", "ROLLBACK"):
            self.control(word, rest)
            return await self.complete(request, [instance.status()])
        if word == "BEGIN":
            self.is_read_only = rest == "READ"
            if not self.is_read_only and not instance.is_primary:
                return self.error("RDONLY")
            self.transaction = []
            return await self.complete(request)
        if word == "ROLLBACK":
            self.transaction = None
            return await self.complete(request)
        if word in ("SET", "PREPARE", "DEALLOC", "RESET"):
            self.prepare(word, rest)
            return await self.complete(request)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.error("NOSTMT")
            word = self.prepared[name]
        await asyncio.sleep(instance.work_s(text))
        if word == "READ":
            instance.group.note_run(instance, request, text)
            return await self.complete(request, instance.group.rows(instance, rest))
        if not instance.is_primary and (word == "WRITE" or self.transaction):
            return self.error("RDONLY")
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            if self.transaction is None:
                await instance.commit([(item, data)])
            else:
                self.transaction.append((item, data))
        elif word == "COMMIT":
            if self.transaction:
                await instance.commit(self.transaction)
            self.transaction = None
        instance.group.note_run(instance, request, text)
        return await self.complete(request)

    def control(self, word, rest):
        instance = self.instance
        if word == "PAUSE" and not instance.is_primary:
            instance.held_term = max(instance.held_term, int(rest))
        elif word == "RESUME":
            instance.held_term = 0
        elif word == "STEPDOWN" and instance.is_primary and instance.term < int(rest):
            instance.is_primary = False
            instance.report()

    def prepare(self, word, rest):
        name, _, value = rest.partition(" ")
        if word == "SET":
            self.values[name] = value
        elif word == "PREPARE":
            self.prepared[name] = value.split(" ")[0]
        elif word == "DEALLOC":
            self.prepared.pop(name, None)
        else:
            self.values, self.prepared = {}, {}


class Group:
    """A database group and its replication."""

    def __init__(self, store, record, service, names):
        self.store = store
        self.record = record
        self.service = service
        self.instances = [Instance(self, name, name == names[0]) for name in names]
        self.sync_replicas = 0
        # What the promoted instance lacked or had, for the checks of a case.
        self.on_promoted = lambda instance: None
        # The rows of a read.
        self.rows = lambda instance, item: [instance.value(item) or "none"]

    async def start(self):
        for instance in self.instances:
            await instance.start()
        asyncio.ensure_future(self.replicate())

    def instance(self, name):
        return next(one for one in self.instances if one.id == name)

    def note_run(self, instance, request, text):
        short = text if len(text) <= 60 else text[:57] + "..."
        self.record(f"run      {instance.id} {request} {short}")

    async def replicate(self):
        for one in self.instances:
            asyncio.ensure_future(self.receive(one))

    async def receive(self, one):
        """Has a replica receive the log of the primary with the latest term, always a little late."""
        while True:
            primaries = [other for other in self.instances if other.is_primary and not other.is_down]
            is_paused = one.held_term > one.term
            if not primaries or one.is_primary or one.is_down or is_paused:
                await asyncio.sleep(0.002)
                continue
            source = max(primaries, key=lambda other: other.term)
            term, log = source.term, list(source.log)
            await asyncio.sleep(one.receive_s)
            # What was on its way when the source went down has been lost.
            if not (source.is_down or one.is_down or one.is_primary or one.held_term > one.term):
                one.term, one.log = term, log

    async def promote(self, name):
        await asyncio.sleep(PROMOTE_S)
        chosen = self.instance(name)
        if chosen.is_primary or chosen.is_down:
            return
        old = [one for one in self.instances if one.is_primary]
        chosen.term = max(one.term for one in self.instances) + 1
        chosen.is_primary, chosen.held_term = True, 0
        chosen.report()
        self.record(f"promoted {name} term {chosen.term}, {len(chosen.log)} commits")
        self.on_promoted(chosen)
        await asyncio.sleep(OLD_PRIMARY_S)
        for one in old:
            if not one.is_down:
                one.is_primary = False
                one.report()


class Promotion:
    """The platform's promotion call."""

    def __init__(self, groups, record):
        self.groups = groups
        self.record = record
        self.server = HttpServer(self.respond)
        # The holder, the number and the service of each order, as they arrived.
        self.orders = []

    async def respond(self, _method, _target, headers, body):
        holder, token = headers.get("x-duty-holder"), headers.get("x-fence-token")
        self.orders.append((holder, int(token), body["service"]))
        self.record(f"ordered  {body} by {holder} token {token}")
        for group in self.groups:
            if group.service == body["service"]:
                if body["id"] not in [one.id for one in group.instances if not one.is_down]:
                    return 409, {}
                asyncio.ensure_future(group.promote(body["id"]))
                return 200, {}
        return 409, {}


class LatePath:
    """A path to a server, on which what a client sends arrives late, as after a packet was lost and sent
    again. What has not arrived when the client ends its connection never does."""

    def __init__(self, server, delay_s):
        self.server = server
        self.delay_s = delay_s
        self.port = free_port()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.server.port)
            sending = asyncio.ensure_future(self.send(reader, to_writer))
            while True:
                data = await to_reader.read(65536)
                if not data:
                    break
                writer.write(data)
            sending.cancel()
        writer.close()

    async def send(self, reader, to_writer):
        late = []
        with contextlib.suppress(OSError):
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                loop = asyncio.get_running_loop()
                late.append(loop.call_later(self.delay_s, to_writer.write, data))
        for one in late:
            one.cancel()
        to_writer.close()


class Host:
    """One entry host, a process of its own."""

    def __init__(self, name, folder, store, promotion, grace_s):
        self.name = name
        self.folder = folder
        self.store = store
        self.promotion = promotion
        self.grace_s = grace_s
        self.caller_port, self.readiness_port, self.peer_port = (free_port() for _ in range(3))
        self.process = None

    def start(self, is_first_start):
        settings = self.folder / f"{self.name}.ini"
        settings.write_text("\n".join([
            "[entry]",
            f"name = {self.name}",
            "domain = zone-a",
            f"caller_address = 127.0.0.1:{self.caller_port}",
            f"readiness_address = 127.0.0.1:{self.readiness_port}",
            f"peer_address = 127.0.0.1:{self.peer_port}",
            f"store_address = {self.store}",
            f"promotion_address = {self.promotion}",
            f"drain_timeout_s = {self.grace_s}",
            f"first_start = {'true' if is_first_start else 'false'}",
            "",
        ]))
        log = (self.folder / f"{self.name}.log").open("ab")
        environment = {"JUJUBEHOLD_BOOT": str(settings), "PATH": os.environ.get("PATH", "")}
        self.process = subprocess.Popen(
            [str(PROGRAM), "entry"], stdout=log, stderr=log, env=environment, cwd=str(ROOT)
        )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness_port)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit_s=15):
        give_up_at = time.monotonic() + limit_s
        while time.monotonic() < give_up_at:
            if self.process.poll() is not None:
                raise SetupError(f"{self.name} ended with {self.process.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise SetupError(f"{self.name} does not become ready")

    def memory_mb(self):
        """Returns the memory that the process uses; 0 if it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Session:
    """A client's session."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.next_id = random.SystemRandom().randrange(1 << 40) << 16

    async def open(self, host, database):
        """Returns the line that answers the start."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", host.caller_port, limit=2 * MAX_LINE_BYTES
        )
        self.writer.write(f"START {database} {self.name}\r\n".encode())
        return (await asyncio.wait_for(self.reader.readline(), 3)).decode().strip()

    async def query(self, text, limit_s=10):
        """Returns the outcome's line and the number of rows; an empty line if the connection ended
        without an answer."""
        self.next_id += 1
        request = f"{self.next_id:x}"
        short = text if len(text) <= 60 else text[:57] + "..."
        self.record(f"send     {self.name} {request} {short}")
        outcome, rows = "", 0
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self.reader.readline(), limit_s)
                if not line.endswith(b"\r\n"):
                    outcome = ""
                    break
                if line.startswith(b"ROW "):
                    rows += 1
                elif line.startswith(b"READY "):
                    break
                else:
                    outcome = line.decode().strip()
        except (ConnectionError, asyncio.TimeoutError) as error:
            self.record(f"         {self.name} {request} {type(error).__name__}")
            outcome = ""
        answer = outcome or "the connection ended without a complete answer"
        self.record(f"answer   {self.name} {request} {rows} rows, {answer}")
        return outcome, rows

    def close(self):
        self.writer.close()


def configuration(service, routes, version=1, max_conns=43, sync_replicas=0):
    """Returns a configuration. `routes` are (database, type, timeout ms, objective ms, staleness)."""
    return {
        "version": version,
        "routes": [
            {"name": f"r-{database}", "host": database, "prefix": "/", "route_type": kind,
             "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 1, "service": service,
             "max_attempts": 2, "max_staleness_ms": stale_ms}
            for database, kind, timeout_ms, slo_ms, stale_ms in routes
        ],
        "services": [{"name": service, "health_path": "/health", "max_conns": max_conns,
                      "protocol": "h1", "tls": False, "sync_replicas": sync_replicas}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
    }


@contextlib.contextmanager
def temporary_folder():
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        yield Path(name)


def run_case(main, record_path):
    """Runs `main(record, has_trouble, folder, hosts)`, which returns whether the rule held and adds the
    hosts that it starts to the list. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
    can't run."""
    record = Record(record_path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble  {'on' if has_trouble else 'off'}")
    if not PROGRAM.exists():
        record("not run  the program is not built")
        raise SystemExit(2)
    hosts = []
    try:
        with temporary_folder() as folder:
            try:
                held = asyncio.run(asyncio.wait_for(main(record, has_trouble, folder, hosts), CASE_LIMIT_S))
            finally:
                for host in hosts:
                    host.end()
    except Exception as error:  # A case that fails for another reason shows nothing.
        record(f"not run  {type(error).__name__}: {error}")
        raise SystemExit(2) from error
    record("result   " + ("the rule held" if held else "THE RULE WAS BROKEN"))
    raise SystemExit(0 if held else 1)
