"""A stand-in of a database service: a primary and its replicas, over the wire protocol.

A commit gets the next number. Replicas receive it after a delay on the way. With `sync_replicas` = 1 it is
acknowledged once one replica, draining or not, has received it. A replica may be deaf: it receives nothing
for a while, and what it missed afterwards.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Callable

from store import Store

STATEMENT_S = 0.002
PROMOTE_S = 0.3
OLD_PRIMARY_S = 1.0


@dataclass
class Entry:
    term: int
    number: int
    item: str
    data: str
    request: str


@dataclass
class Instance:
    """One instance of the service."""

    group: Group
    name: str
    zone: str
    ip: str
    port: int
    delay_s: float
    role: str = "replica"
    term: int = 1
    held: int = 0
    log: list[Entry] = field(default_factory=list)
    state: str = "ready"
    is_alive: bool = True
    is_deaf: bool = False
    is_cut_from_store: bool = False
    born_ms: int = 0
    connections: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    def position(self) -> tuple[int, int]:
        return (self.log[-1].term, self.log[-1].number) if self.log else (0, 0)

    def position_text(self) -> str:
        term, number = self.position()
        return f"{term}.{number}"

    def value(self, item: str) -> str | None:
        for entry in reversed(self.log):
            if entry.item == item:
                return entry.data
        return None

    def publish(self) -> None:
        if self.is_cut_from_store:
            return
        document = {
            "service": self.group.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "db_role": self.role,
            "born": self.born_ms,
        }
        self.group.store.put_document(f"servers/{self.name}", document)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.publish()

    def crash(self) -> None:
        """Ends the process of the instance: its connections are reset, and its port is closed."""
        self.is_alive = False
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            if writer.transport:
                writer.transport.abort()

    async def come_back(self) -> None:
        """Starts the process of the instance again, with the log that it had."""
        self.is_alive = True
        if self.group.leader is not self:
            self.role, self.held, self.term = "replica", 0, self.group.leader.term
            self.log = self.group.leader.log[:]
        self.born_ms = int(time.time() * 1000)
        await self.start()

    def receive_all(self, source: Instance, length: int) -> None:
        """Receives the log of the primary up to `length`."""
        is_paused = self.held > self.term
        if not self.is_alive or self.is_deaf or is_paused or self.role == "primary":
            return
        if self.group.leader is not source or len(self.log) >= length:
            return
        self.log = source.log[:length]
        self.term = source.term
        self.group.note_received(self)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        self.connections += 1
        connection = Connection(self)
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                out, is_over = await connection.handle(line)
                if not self.is_alive:
                    return
                writer.write(out.encode())
                await writer.drain()
                if is_over:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()


class Group:
    """The instances of one service."""

    def __init__(self, store: Store, service: str, sync_replicas: int, record: Callable[..., None]):
        self.store = store
        self.service = service
        self.sync_replicas = sync_replicas
        self.record = record
        self.instances: dict[str, Instance] = {}
        self.leader: Instance | None = None
        self.promotions: list[tuple[str, int, list[Entry]]] = []
        self.received = asyncio.Event()
        self.max_fence = 0

    def note_received(self, _replica: Instance) -> None:
        received, self.received = self.received, asyncio.Event()
        received.set()

    def add(self, instance: Instance) -> None:
        self.instances[instance.name] = instance
        if instance.role == "primary":
            self.leader = instance

    def replicate(self, source: Instance) -> None:
        loop = asyncio.get_running_loop()
        for instance in self.instances.values():
            if instance is not source:
                loop.call_later(instance.delay_s, instance.receive_all, source, len(source.log))

    async def commit(self, instance: Instance, writes: list[tuple[str, str]], request: str) -> None:
        for item, data in writes:
            _, number = instance.position()
            instance.log.append(Entry(instance.term, number + 1, item, data, request))
        length = len(instance.log)
        self.replicate(instance)
        if self.sync_replicas == 0:
            return
        while instance.is_alive:
            others = [other for other in self.instances.values() if other is not instance]
            if any(other.is_alive and len(other.log) >= length for other in others):
                return
            await self.received.wait()

    def hear_again(self, instance: Instance) -> None:
        """Ends the time in which a replica received nothing."""
        instance.is_deaf = False
        if self.leader and self.leader.is_alive:
            self.replicate(self.leader)

    async def promote(
        self, _method: str, _target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        call = json.loads(body)
        fence = int(headers.get("x-fence-token", "0"))
        holder = headers.get("x-duty-holder", "")
        instance = self.instances.get(call["id"])
        self.record("promotion call", instance=call["id"], holder=holder, fence=fence)
        if instance is None or not instance.is_alive:
            return 409, {}
        self.max_fence = max(self.max_fence, fence)
        if instance is not self.leader:
            asyncio.get_running_loop().call_later(PROMOTE_S, self.lead, instance, fence)
        return 200, {}

    def lead(self, instance: Instance, fence: int) -> None:
        if not instance.is_alive or instance.role == "primary":
            return
        instance.role = "primary"
        instance.term = max(other.term for other in self.instances.values()) + 1
        instance.held = 0
        self.leader = instance
        self.promotions.append((instance.name, fence, list(instance.log)))
        self.record("promoted", instance=instance.name, log=instance.position_text())
        instance.publish()
        for other in self.instances.values():
            if other is instance or not other.is_alive:
                continue
            if other.role == "primary":
                # The old primary continues until a second after it can reach the new one.
                asyncio.get_running_loop().call_later(OLD_PRIMARY_S, self.follow, other)
            else:
                self.follow(other)

    def follow(self, instance: Instance) -> None:
        """Makes an instance a replica of the leader; what it had beyond that one's log is rolled back."""
        was_primary = instance.role == "primary"
        instance.role, instance.term = "replica", self.leader.term
        if not instance.is_deaf:
            instance.log = self.leader.log[:]
        if was_primary:
            instance.publish()


class Connection:
    """A connection to an instance."""

    def __init__(self, instance: Instance):
        self.instance = instance
        self.user = ""
        self.writes: list[tuple[str, str]] | None = None
        self.is_read_only = False
        self.has_failed = False
        self.prepared: dict[str, str] = {}

    async def handle(self, line: str) -> tuple[str, bool]:
        instance = self.instance
        word, _, rest = line.partition(" ")
        if word == "START":
            service, user, *expected = rest.split(" ")
            if service != instance.group.service or (expected and expected[0] != instance.name):
                return "ERROR WRONGNODE\r\n", True
            self.user = user
            return f"READY I {instance.position_text()}\r\n", False
        if word != "QUERY":
            return "", True
        request, _, text = rest.partition(" ")
        rows, error = await self.run(request, text)
        out = "".join(f"ROW {row}\r\n" for row in rows)
        proof = "-" if request == "-" else f"{instance.name}.{request}"
        out += f"ERROR {error} {instance.name}\r\n" if error else f"COMPLETE {proof}\r\n"
        state = "I" if self.writes is None else "E" if self.has_failed else "T"
        return out + f"READY {state} {instance.position_text()}\r\n", False

    async def run(self, request: str, text: str) -> tuple[list[str], str]:
        instance = self.instance
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, _, number = position.partition(".")
            if instance.position() < (int(term), int(number)):
                return [], "LAGGING"
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return [self.control(word, rest)], ""
        if word == "SET":
            return [], ""
        if word == "RESET":
            self.prepared.clear()
            return [], ""
        if word == "PREPARE":
            name, access, _shape = rest.split(" ", 2)
            self.prepared[name] = access
            return [], ""
        if word == "BEGIN":
            if rest != "READ" and instance.role != "primary":
                return [], "RDONLY"
            self.writes, self.is_read_only, self.has_failed = [], rest == "READ", False
            return [], ""
        if word == "ROLLBACK":
            self.writes = None
            return [], ""
        if self.has_failed and self.writes is not None and word != "COMMIT":
            return [], "MALFORMED"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return [], "NOSTMT"
            word = self.prepared[name]
        await asyncio.sleep(STATEMENT_S)
        if word == "READ":
            value = instance.value(rest)
            instance.group.record("run", instance=instance.name, request=request, text=text)
            return [value if value is not None else "none"], ""
        if word == "WRITE":
            if instance.role != "primary":
                self.has_failed = True
                return [], "RDONLY"
            item, _, data = rest.partition(" ")
            instance.group.record("run", instance=instance.name, request=request, text=text)
            if self.writes is None:
                await instance.group.commit(instance, [(item, data)], request)
            else:
                self.writes.append((item, data))
            return [], ""
        if word == "COMMIT":
            writes, self.writes = self.writes or [], None
            if writes and instance.role != "primary":
                return [], "RDONLY"
            instance.group.record("run", instance=instance.name, request=request, text=text)
            if writes:
                await instance.group.commit(instance, writes, request)
            return [], ""
        return [], "MALFORMED"

    def control(self, word: str, rest: str) -> str:
        instance = self.instance
        term = int(rest) if rest else 0
        newest = max(instance.term, instance.held)
        if word == "PAUSE" and instance.role == "replica" and term > newest:
            instance.held = term
        if word == "RESUME":
            instance.held = 0
        if word == "STEPDOWN" and instance.role == "primary" and instance.term < term:
            instance.role = "replica"
            instance.publish()
        if word != "STATUS":
            instance.group.record(
                "order", instance=instance.name, order=word, term=term, by=self.user
            )
        return (
            f"{instance.role} {instance.term} {instance.position_text()} {instance.held} 0 0 "
            f"{instance.connections}"
        )
