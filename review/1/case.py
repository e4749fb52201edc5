"""An acknowledged commit is lost when the primary crashes while the replica that has it is draining."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Awaitable

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from installation import Caller, Installation, run  # noqa: E402

# Limits of the site tscsra-hold: `drain_ms` 7,000, replica_lag for up to 6.5 s, srv_crash for 7 s.
DRAIN_S = 7.0
DEAF_S = 6.0
WRITERS = 6


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


async def release(installation: Installation, name: str) -> None:
    """Replaces a replica as planned: the new one starts first, then the old one drains and ends."""
    group = installation.group
    old = group.instances[name]
    new = await installation.add_instance("i-r1-new", old.zone, old.delay_s, "replica")
    new.term = group.leader.term
    new.receive_all(group.leader, len(group.leader.log))
    await asyncio.sleep(1.0)
    old.state = "draining"
    old.publish()
    installation.record("draining", instance=name)
    await asyncio.sleep(DRAIN_S + 1.0)
    old.crash()
    installation.store.commit([], [f"servers/{name}"])
    installation.record("ended", instance=name)


async def play(installation: Installation, is_troubled: bool) -> int:
    group = installation.group
    await installation.start()
    installation.configure(1)
    primary = await installation.add_instance("i-p0", "greenville", 0.001, "primary")
    await installation.add_instance("i-r1", "greenville", 0.001, "replica")
    far = await installation.add_instance("i-r2", "salisbury", 0.005, "replica")
    for host in installation.hosts:
        installation.start_host(host, is_first_start=True)
    for host in installation.hosts:
        if not await installation.wait_until_ready(host):
            print(f"{host.name} does not become ready")
            return 2
    acknowledged: list[tuple[str, str]] = []
    tasks = [
        asyncio.create_task(write(installation, number, acknowledged)) for number in range(WRITERS)
    ]
    await asyncio.sleep(2.0)
    tasks.append(asyncio.create_task(release(installation, "i-r1")))
    await asyncio.sleep(1.5)
    if is_troubled:
        # Two of the three replicas receive nothing for a while, and the primary crashes meanwhile.
        deaf = [far, group.instances["i-r1-new"]]
        for replica in deaf:
            replica.is_deaf = True
            installation.record("deaf", instance=replica.name, log=replica.position_text())
    await asyncio.sleep(2.0)
    acknowledged_before_crash = len(acknowledged)
    draining: set[tuple[str, str]] = set()
    if is_troubled:
        primary.crash()
        draining = {(entry.item, entry.data) for entry in group.instances["i-r1"].log}
        installation.record("crashed", instance=primary.name, log=primary.position_text())
    await asyncio.sleep(DEAF_S - 2.0)
    if is_troubled:
        for replica in deaf:
            group.hear_again(replica)
            installation.record("not deaf any more", instance=replica.name)
    await asyncio.sleep(2.0)
    await installation.end(tasks)
    if acknowledged_before_crash == 0:
        print("no write was acknowledged")
        return 2
    if not group.promotions:
        print(f"no promotion; {len(acknowledged)} writes acknowledged")
        return 2 if is_troubled else 0
    name, fence, log = group.promotions[0]
    kept = {(entry.item, entry.data) for entry in log}
    lost = [write for write in acknowledged[:acknowledged_before_crash] if write not in kept]
    for item, value in lost:
        installation.record("lost", item=item, value=value, promoted=name)
    has_all = all(write in draining for write in acknowledged[:acknowledged_before_crash])
    print(
        f"{acknowledged_before_crash} writes acknowledged before the crash, {name} promoted with "
        f"fence {fence}, {len(lost)} of them not in its log; the draining replica had all: {has_all}"
    )
    return 1 if lost else 0


def play_case(installation: Installation) -> Awaitable[int]:
    return play(installation, os.environ.get("TROUBLE") != "0")


sys.exit(run(FOLDER, 1, play_case))
