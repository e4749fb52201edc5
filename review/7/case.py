"""Two of three instances crash at once where one replica confirms each commit, and come back later."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))
import standins as s  # noqa: E402

SERVICE = "ledger"
WRITERS = 6
# The pauses of the writers differ, so that their writes are spread evenly over time.
PAUSE_S = 0.01
PAUSE_STEP_S = 0.003
# How long the primary and the replica are down.
PRIMARY_DOWN_S = 7.0
REPLICA_DOWN_S = 4.2
# How old the instances' latest reports are when they crash.
REPORT_AGE_S = 1.0


async def main(record, has_trouble, folder, hosts):
    store = s.Store()
    await store.start()
    group = s.Group(store, record, SERVICE, ["i-1", "i-2", "i-3"])
    group.sync_replicas = 1
    # One replica in the primary's zone, the other one in another region.
    group.instances[1].receive_s = 0.001
    group.instances[2].receive_s, group.instances[2].zone = 0.02, "zone-c"
    promotion = s.Promotion([group], record)
    await promotion.server.start()
    routes = [("orders", "primary", 800, 600, 0)]
    store.put("op/config", s.configuration(SERVICE, routes, sync_replicas=1))
    await group.start()
    for name in ("host-1", "host-2", "host-3"):
        host = s.Host(name, folder, store.server.address, promotion.server.address, 6)
        hosts.append(host)
        host.start(is_first_start=True)
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(1)
    return await play(record, has_trouble, hosts, group)


async def play(record, has_trouble, hosts, group):
    acknowledged, lost = {}, []

    def check(promoted):
        # LOST: an acknowledged commit isn't in the log of the instance that is promoted.
        present = {item for writes in promoted.log for item, _ in writes}
        lost.extend(item for item in acknowledged if item not in present)
        record(f"         {promoted.id} lacks these acknowledged commits: {lost}")

    group.on_promoted = check
    is_over = asyncio.Event()
    writers = [
        asyncio.ensure_future(write(record, hosts[0], number, acknowledged, is_over))
        for number in range(WRITERS)
    ]
    await asyncio.sleep(1)
    if has_trouble:
        primary, replica = group.instances[:2]
        while time.monotonic() - replica.reported_at < REPORT_AGE_S:
            await asyncio.sleep(0.01)
        record(f"crash    {primary.id} for {PRIMARY_DOWN_S} s, {replica.id} for {REPLICA_DOWN_S} s")
        primary.crash()
        replica.crash()
        await asyncio.sleep(REPLICA_DOWN_S)
        record(f"back     {replica.id} with {len(replica.log)} commits")
        await replica.come_back()
        await asyncio.sleep(PRIMARY_DOWN_S - REPLICA_DOWN_S)
        record(f"back     {primary.id} with {len(primary.log)} commits")
        await primary.come_back()
        await asyncio.sleep(6)
    else:
        await asyncio.sleep(2)
    is_over.set()
    await asyncio.gather(*writers)
    record(f"         {len(acknowledged)} commits acknowledged, {len(lost)} of them lost")
    return not lost


async def write(record, host, number, acknowledged, is_over):
    count = 0
    while not is_over.is_set():
        session = s.Session(record, f"writer-{number}")
        await session.open(host, "orders")
        outcome = "COMPLETE"
        while outcome.startswith("COMPLETE") and not is_over.is_set():
            count += 1
            item = f"w{number}-{count}"
            outcome, _ = await session.query(f"WRITE {item} 1")
            if outcome.startswith("COMPLETE"):
                acknowledged[item] = True
            await asyncio.sleep(PAUSE_S + number * PAUSE_STEP_S)
        session.close()
        await asyncio.sleep(0.3)


if __name__ == "__main__":
    s.run_case(main, Path(__file__).resolve().parent / "record.txt")
