"""Acknowledged commits are lost when a primary that is alive is replaced while one host is cut off."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Awaitable

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from database import Instance  # noqa: E402
from installation import Caller, Installation, run  # noqa: E402

# The entry of an instance is removed after three heartbeat intervals of silence (`heartbeat_ms` 1,200).
ENTRY_S = 3.6
# Limits of the site tscsra-hold: primary_cut for up to 7 s, node_cut for up to 12 s.
PRIMARY_CUT_S = 7.0
HOST_CUT_S = 6.0


async def write(installation: Installation, number: int, acknowledged: list[tuple[str, str]]) -> None:
    """Writes one item again and again, each time with the next number."""
    host = installation.hosts[number % len(installation.hosts)]
    caller = Caller(installation, host, "book")
    item, value = f"item{number}", 0
    while not installation.is_over:
        value += 1
        outcome, _ = await caller.query(f"WRITE {item} {value}")
        if outcome.startswith("COMPLETE"):
            acknowledged.append((item, str(value)))
        await asyncio.sleep(0.02)


async def end_primary_cut(installation: Installation, primary: Instance) -> None:
    await asyncio.sleep(PRIMARY_CUT_S)
    primary.is_cut_from_store = False
    primary.publish()
    installation.record("primary no longer partitioned", instance=primary.name)


async def play(installation: Installation, is_troubled: bool) -> int:
    group = installation.group
    await installation.start()
    installation.configure(1)
    primary = await installation.add_instance("i-p0", "greenville", 0.001, "primary")
    await installation.add_instance("i-r1", "salisbury", 0.005, "replica")
    await installation.add_instance("i-r2", "mobile", 0.02, "replica")
    for host in installation.hosts:
        installation.start_host(host, is_first_start=True)
    for host in installation.hosts:
        if not await installation.wait_until_ready(host):
            print(f"{host.name} does not become ready")
            return 2
    acknowledged: list[tuple[str, str]] = []
    tasks = [
        asyncio.create_task(write(installation, number, acknowledged))
        for number in range(2 * len(installation.hosts))
    ]
    await asyncio.sleep(4.0)
    cut_host = installation.hosts[-1]
    if is_troubled:
        # The primary is partitioned from the store: its entry is removed. It serves on.
        primary.is_cut_from_store = True
        installation.record("primary partitioned from the store", instance=primary.name)
        tasks.append(asyncio.create_task(end_primary_cut(installation, primary)))
    await asyncio.sleep(ENTRY_S - 0.1)
    if is_troubled:
        installation.cut_host(cut_host, True)
    await asyncio.sleep(0.1)
    if is_troubled:
        installation.store.commit([], [f"servers/{primary.name}"])
    # The log of the promoted instance as of its promotion is kept by the stand-in.
    seen = 0
    for _ in range(int((HOST_CUT_S - 0.1) * 100)):
        if not group.promotions:
            seen = len(acknowledged)
        await asyncio.sleep(0.01)
    if is_troubled:
        installation.cut_host(cut_host, False)
    await asyncio.sleep(2.0)
    await installation.end(tasks)
    if not acknowledged:
        print("no write was acknowledged")
        return 2
    if not group.promotions:
        print(f"no promotion; {len(acknowledged)} writes acknowledged")
        return 2 if is_troubled else 0
    name, fence, log = group.promotions[0]
    kept = {(entry.item, entry.data) for entry in log}
    lost = [write for write in acknowledged[:seen] if write not in kept]
    for item, value in lost:
        installation.record("lost", item=item, value=value, promoted=name)
    print(
        f"{seen} writes acknowledged before {name} was promoted with fence {fence}, "
        f"{len(lost)} of them not in its log"
    )
    return 1 if lost else 0


def play_case(installation: Installation) -> Awaitable[int]:
    return play(installation, os.environ.get("TROUBLE") != "0")


sys.exit(run(FOLDER, 1, play_case))
