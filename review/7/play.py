"""A sidecar is killed soon after its start and started again. The first bytes of its first connection
to an entry were lost and sent again, so they arrive after those of its next connection."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import kit

# A packet that is lost once is sent again after 0.2 s.
DELAY_S = 0.2


async def ended(process):
    while process.is_running():
        await asyncio.sleep(0.01)


async def play(cluster):
    sidecar, entry = cluster.sidecars[0], cluster.entries[0]
    # Planned restart of an idle sidecar.
    sidecar.signal(signal.SIGTERM)
    await ended(sidecar)
    if kit.TROUBLE:
        cluster.relays[0].delay_s = DELAY_S
    sidecar.start()
    await asyncio.sleep(0.05)
    if kit.TROUBLE:
        cluster.relays[0].delay_s = 0.0
        sidecar.signal(signal.SIGKILL)
        await asyncio.sleep(0.05)
        sidecar.start()
        await asyncio.sleep(0.02)
    # The executor reports to its sidecar; by itself it would do so within 1.5 s.
    await cluster.executors[0].beat()
    callers = []
    for _ in range(3):
        body = kit.job(4, 3400, cpu=3100, estimate_ms=900)
        order = [cluster.entries[0], cluster.entries[1]]
        callers.append(asyncio.ensure_future(cluster.client.submit(kit.job_id(), body, order)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*callers)
    await asyncio.sleep(2)
    # For the record only: whether the entry still uses this sidecar.
    known = len(cluster.runs)
    for _ in range(20):
        await cluster.client.attempt(kit.job_id(), kit.job(2, 50, cpu=3100), entry)
    used = sorted({run["executor"] for run in cluster.runs[known:]})
    cluster.record("20 later jobs of %s ran on %s" % (entry.name, ", ".join(used)))
    return [
        "TWICE: %s ran on %s (run %d) and %s (run %d) at the same time for %.3f s"
        % (a["task"], a["executor"], a["run"], b["executor"], b["run"], seconds)
        for a, b, seconds in cluster.overlaps()
    ]


cluster = kit.Cluster(FOLDER, entries=2, sidecars=2)
cluster.use_relays()
kit.main(cluster, play)
