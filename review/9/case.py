"""SIGTERM while an instance works on statements that came in the first half of the grace time."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))
import standins as s  # noqa: E402

GRACE_S = 6
SERVICE = "ledger"
# After SIGTERM: within the first half of the grace time.
SENT_AFTER_S = 2.95
# Less than the route's timeout of 2 s; the work ends before the last sixth of the grace time.
WORK_S = 1.92


async def main(record, has_trouble, folder, hosts):
    store = s.Store()
    await store.start()
    group = s.Group(store, record, SERVICE, ["i-1", "i-2", "i-3"])
    promotion = s.Promotion([group], record)
    await promotion.server.start()
    routes = [("lookup", "bounded_staleness", 2000, 1000, 1500)]
    store.put("op/config", s.configuration(SERVICE, routes))
    for instance in group.instances:
        instance.work_s = lambda text: WORK_S if "slow" in text or text == "COMMIT" else 0.004
    await group.start()
    for name in ("host-1", "host-2"):
        host = s.Host(name, folder, store.server.address, promotion.server.address, GRACE_S)
        hosts.append(host)
        host.start(is_first_start=True)
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(1)
    return await play(record, has_trouble, hosts)


async def play(record, has_trouble, hosts):
    host = hosts[0]
    reader, writer = s.Session(record, "reader"), s.Session(record, "writer")
    for session in (reader, writer):
        await session.open(host, "lookup")
    await reader.query("BEGIN READ")
    await reader.query("READ a")
    await writer.query("BEGIN")
    await writer.query("WRITE b 1")
    stopped_at = time.monotonic()
    if has_trouble:
        record(f"SIGTERM  {host.name}; it has {GRACE_S} s")
        host.process.send_signal(signal.SIGTERM)
    # Pauses within a transaction stay below tx_idle_ms.
    await asyncio.sleep(1.5)
    await reader.query("READ a")
    await writer.query("WRITE b 2")
    await asyncio.sleep(max(0, stopped_at + SENT_AFTER_S - time.monotonic()))
    sent_s = time.monotonic() - stopped_at
    answers = await asyncio.gather(reader.query("READ slow"), writer.query("COMMIT"))
    ended_s = time.monotonic() - stopped_at
    if has_trouble:
        while host.process.poll() is None and time.monotonic() - stopped_at < GRACE_S + 1:
            await asyncio.sleep(0.01)
        left_s = time.monotonic() - stopped_at
        record(f"ended    {host.name} {left_s:.2f} s after SIGTERM, exit {host.process.poll()}")
        # The instances end their work.
        await asyncio.sleep(0.3)
    record(f"         sent {sent_s:.2f} s after SIGTERM, the last connection was done {ended_s:.2f} s after it")
    # LOST: a whole request was read and passed on, and its connection ended without an answer.
    return all(outcome for outcome, _ in answers)


if __name__ == "__main__":
    s.run_case(main, Path(__file__).resolve().parent / "record.txt")
