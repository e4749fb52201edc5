"""An entry from another writer, with fields missing, lies in the store when the system first starts.

Shown beside the cases of the second review, see REPORT-2.md. Run: python3 -B review/standins-2/stray_entry.py
Exits with 1 if no request is served, 0 if some are, 2 if it can't run; TROUBLE=0 leaves the entry out.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
import standins as s  # noqa: E402

SERVICE = "ledger"
PLAY_S = 20
HOSTS = 3


async def main(record, has_trouble, folder, hosts):
    store = s.Store()
    await store.start()
    group = s.Group(store, record, SERVICE, ["i-1", "i-2", "i-3"])
    promotion = s.Promotion([group], record)
    await promotion.server.start()
    routes = [
        ("orders", "primary", 800, 600, 0),
        ("lookup", "bounded_staleness", 2000, 1000, 1500),
        ("queue", "read_your_writes", 800, 1000, 2500),
    ]
    store.put("op/config", s.configuration(SERVICE, routes))
    if has_trouble:
        # No version, warmup_left_ms, sequence or born.
        entry = {
            "service": SERVICE, "address": f"127.0.0.1:{s.free_port()}", "zone": "zone-a",
            "slots": 3, "state": "ready", "db_role": "primary",
        }
        store.put("servers/i-0", entry)
        record(f"written  servers/i-0 by another writer: {entry}")
    await group.start()
    for number in range(1, HOSTS + 1):
        host = s.Host(f"host-{number}", folder, store.server.address, promotion.server.address, 6)
        hosts.append(host)
        host.start(is_first_start=True)
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(1)
    return await play(record, hosts)


async def play(record, hosts):
    asked = served = 0
    give_up_at = time.monotonic() + PLAY_S
    while time.monotonic() < give_up_at:
        for host in hosts:
            for database, text in (("orders", "WRITE a 1"), ("lookup", "READ a"), ("queue", "READ a")):
                session = s.Session(record, database)
                await session.open(host, database)
                outcome, _ = await session.query(text)
                asked += 1
                served += outcome.startswith("COMPLETE")
                session.close()
        await asyncio.sleep(1)
    record(f"         asked {asked}, served {served}")
    # Fault: no request is served.
    return served > 0


if __name__ == "__main__":
    s.run_case(main, Path(__file__).resolve().parent / "record.txt")
