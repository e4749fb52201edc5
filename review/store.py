"""A stand-in of the platform's metadata store and of the promotion call, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import base64
import json
import urllib.parse
from dataclasses import dataclass
from typing import Awaitable, Callable

MAX_WATCH_MS = 30_000
LEASE_CHECK_S = 0.02


@dataclass
class Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def document(self) -> dict[str, object]:
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created_rev": self.created,
            "lease_id": self.lease,
        }


class Store:
    """The items, their history and the leases."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.history: list[tuple[int, dict[str, object]]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()
        # Rises each time that the store is restored from a copy.
        self.era = 1
        # The oldest revision from which the history is known.
        self.known_since = 0

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def commit(self, writes: list[tuple[str, bytes, int]], removals: list[str]) -> int:
        self.revision += 1
        for key, value, lease in writes:
            old = self.items.get(key)
            created = old.created if old else self.revision
            item = Item(key, value, self.revision, created, lease)
            self.items[key] = item
            self.history.append((self.revision, item.document()))
        for key in removals:
            if self.items.pop(key, None) is not None:
                removed = {"key": key, "revision": self.revision, "removed": True}
                self.history.append((self.revision, removed))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.revision

    def put_document(self, key: str, document: object) -> int:
        return self.commit([(key, json.dumps(document).encode(), 0)], [])

    def copy(self) -> tuple[int, dict[str, Item]]:
        return self.revision, dict(self.items)

    def restore(self, copy: tuple[int, dict[str, Item]]) -> None:
        """Goes back to a copy. What was written since is gone, and so are all leases and their keys."""
        self.revision, items = copy
        self.items = {key: item for key, item in items.items() if item.lease == 0}
        self.history = []
        self.known_since = self.revision
        self.leases = {}
        self.era += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            for lease, (_, until) in list(self.leases.items()):
                if self.now() >= until:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self.commit([], keys)
        return True

    async def handle(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        words = url.path.strip("/").split("/")
        call = words[1] if len(words) > 1 else ""
        if call == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at_rev": self.revision}
            return 200, {**item.document(), "at_rev": self.revision}
        if call == "kv-range":
            return 200, self.range(query["prefix"], query.get("after", ""))
        if call == "kv-watch":
            return await self.watch(query)
        if call == "kv-txn":
            return self.transact(json.loads(body))
        if call == "kv-lease":
            ttl_ms = int(json.loads(body)["ttl_ms"])
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl_ms / 1000, self.now() + ttl_ms / 1000)
            return 200, {"lease_id": self.last_lease, "ttl_ms": ttl_ms}
        if call == "kv-keep":
            lease = int(words[2])
            if lease not in self.leases:
                return 404, {}
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, self.now() + ttl)
            return 200, {"lease_id": lease, "ttl_ms": int(ttl * 1000)}
        if call == "kv-lease-end":
            return (200 if self.end_lease(int(words[2])) else 404), {}
        return 404, {}

    def range(self, prefix: str, after: str) -> dict[str, object]:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = keys[:500]
        return {
            "items": [self.items[key].document() for key in page],
            "truncated": len(page) < len(keys),
            "at_rev": self.revision,
        }

    async def watch(self, query: dict[str, str]) -> tuple[int, object]:
        prefix, after = query["prefix"] if "prefix" in query else "", int(query["after"])
        give_up_at = self.now() + min(int(query.get("wait_ms", "0")), MAX_WATCH_MS) / 1000
        while True:
            if after > self.revision or after < self.known_since:
                return 410, {}
            events = [
                event
                for revision, event in self.history
                if revision > after and str(event["key"]).startswith(prefix)
            ]
            left = give_up_at - self.now()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call: dict[str, object]) -> tuple[int, object]:
        expected = call.get("expected_rev") or []
        for row in expected:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                present = [self.items.get(row["key"]) for row in expected]
                return 412, {"items": [item.document() for item in present if item]}
        writes = []
        for row in call.get("writes") or []:
            lease = int(row.get("lease_id") or 0)
            if lease and lease not in self.leases:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            writes.append((row["key"], base64.b64decode(row["value"]), lease))
        return 200, {"revision": self.commit(writes, list(call.get("remove") or []))}


Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, object]]]


class HttpServer:
    """An HTTP/1.1 server with connections that are kept open."""

    def __init__(self, handler: Handler, headers: Callable[[], str] = str):
        self.handler = handler
        # Returns the lines of further headers of an answer.
        self.headers = headers
        # While set, requests are neither read nor answered: the way to the server is cut.
        self.is_cut = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                while self.is_cut:
                    await asyncio.sleep(0.01)
                status, document = await self.handler(method, target, headers, body)
                while self.is_cut:
                    await asyncio.sleep(0.01)
                out = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{self.headers()}"
                    f"Content-Length: {len(out)}\r\n\r\n".encode()
                    + out
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
