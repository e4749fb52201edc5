"""A host that starts after the store was restored takes a replaced primary for the present one."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Awaitable

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from installation import Caller, Installation, run  # noqa: E402

# The delay with which a replica has a commit: one way between two zones and 8 ms behind.
REPLICA_DELAY_S = 0.013
# How old the copy is when the store comes back from it: "some seconds".
COPY_AGE_S = 6.0
STORE_AWAY_S = 0.5
READS = 60


async def write_and_read(writer: Caller, reader: Caller) -> tuple[int, int, int]:
    """Writes at one host and reads each write at another. Returns reads, old and answered ones."""
    answered, stale, value = 0, 0, 0
    for _ in range(READS):
        value += 1
        outcome, _ = await writer.query(f"WRITE item {value}")
        if not outcome.startswith("COMPLETE"):
            await asyncio.sleep(0.1)
            continue
        outcome, rows = await reader.query("READ item")
        if not outcome.startswith("COMPLETE"):
            await asyncio.sleep(0.1)
            continue
        answered += 1
        seen = int(rows[0]) if rows and rows[0].isdigit() else 0
        if seen < value:
            stale += 1
            writer.installation.record("stale", acknowledged=value, read=rows[0] if rows else "none")
    return READS, stale, answered


async def play(installation: Installation, is_troubled: bool) -> int:
    group = installation.group
    await installation.start()
    installation.configure(1)
    primary = await installation.add_instance("i-p0", "greenville", REPLICA_DELAY_S, "primary")
    await installation.add_instance("i-r1", "salisbury", REPLICA_DELAY_S, "replica")
    await installation.add_instance("i-r2", "mobile", REPLICA_DELAY_S, "replica")
    for host in installation.hosts:
        installation.start_host(host, is_first_start=True)
    for host in installation.hosts:
        if not await installation.wait_until_ready(host):
            print(f"{host.name} does not become ready")
            return 2
    await asyncio.sleep(2.0)
    copy = installation.store.copy()
    installation.record("copy of the store", revision=copy[0])
    # The primary crashes, a replica takes over, and the old primary comes back as a replica.
    primary.crash()
    installation.record("crashed", instance=primary.name)
    await asyncio.sleep(COPY_AGE_S - STORE_AWAY_S - 1.0)
    if not group.promotions:
        print("no promotion")
        return 2
    await primary.come_back()
    installation.record("came back as a replica", instance=primary.name)
    await asyncio.sleep(1.0)
    if is_troubled:
        for server in installation.store_servers:
            server.is_cut = True
        await asyncio.sleep(STORE_AWAY_S)
        installation.restore_store(copy, 1)
        for server in installation.store_servers:
            server.is_cut = False
    # One host is stopped and started as planned.
    host = installation.hosts[-1]
    host.process.send_signal(signal.SIGTERM)
    installation.record("SIGTERM", host=host.name)
    while host.process.poll() is None:
        await asyncio.sleep(0.02)
    installation.start_host(host, is_first_start=False)
    if not await installation.wait_until_ready(host):
        print(f"{host.name} does not become ready again")
        return 2
    writer = Caller(installation, installation.hosts[0], "book")
    reader = Caller(installation, host, "book")
    count, stale, answered = await write_and_read(writer, reader)
    print(
        f"{count} writes at {installation.hosts[0].name}, {answered} read at {host.name} on a "
        f"`primary` route, {stale} of these reads lacked a commit that was acknowledged before"
    )
    if stale:
        return 1
    return 0 if answered else 2


def play_case(installation: Installation) -> Awaitable[int]:
    return play(installation, os.environ.get("TROUBLE") != "0")


sys.exit(run(FOLDER, 0, play_case))
