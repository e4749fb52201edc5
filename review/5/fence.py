"""Beside the case: the number of a promotion order falls after the store was restored (rule ONE).

All else is planned work: a quick succession of configurations, two releases of a primary, and a stop and
start of all hosts. Prints the numbers of the orders in turn; exits with 1 if one is lower than one before.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from installation import Installation, run  # noqa: E402

# As config_storm of the site: a change each 0.06 s.
CONFIGURATIONS = 45
CONFIGURATION_GAP_S = 0.06
DRAIN_S = 7.0


async def release_primary(installation: Installation) -> bool:
    """Has the primary drain until another instance leads. Returns whether one does."""
    group = installation.group
    old, before = group.leader, len(group.promotions)
    old.state = "draining"
    old.publish()
    for _ in range(150):
        if len(group.promotions) > before:
            return True
        await asyncio.sleep(0.1)
    return False


async def play(installation: Installation) -> int:
    group = installation.group
    await installation.start()
    installation.configure(1)
    old = await installation.add_instance("i-p0", "greenville", 0.013, "primary")
    await installation.add_instance("i-r1", "salisbury", 0.013, "replica")
    await installation.add_instance("i-r2", "mobile", 0.013, "replica")
    for host in installation.hosts:
        installation.start_host(host, is_first_start=True)
    for host in installation.hosts:
        if not await installation.wait_until_ready(host):
            return 2
    await asyncio.sleep(2.0)
    copy = installation.store.copy()
    for version in range(2, CONFIGURATIONS + 2):
        installation.configure(version)
        await asyncio.sleep(CONFIGURATION_GAP_S)
    if not await release_primary(installation):
        return 2
    await asyncio.sleep(1.0)
    installation.restore_store(copy, CONFIGURATIONS + 1)
    await asyncio.sleep(DRAIN_S - 3.0)
    old.crash()
    installation.store.commit([], [f"servers/{old.name}"])
    for host in installation.hosts:
        host.process.send_signal(signal.SIGTERM)
    for host in installation.hosts:
        while host.process.poll() is None:
            await asyncio.sleep(0.02)
        installation.start_host(host, is_first_start=False)
    for host in installation.hosts:
        if not await installation.wait_until_ready(host):
            return 2
    await asyncio.sleep(6.0)
    if not await release_primary(installation):
        return 2
    numbers = [fence for _, fence, _ in group.promotions]
    print(f"numbers of the promotion orders, in turn: {numbers}")
    return 1 if numbers != sorted(numbers) else 0


sys.exit(run(FOLDER, 0, play, "record-fence.txt"))
