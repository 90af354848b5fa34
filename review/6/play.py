"""The idle connections to one executor go silent while it runs a task; the caller asks again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import kit

# Fewer connections than the 64 that an executor accepts.
CONNECTIONS = 40


async def warm_up(cluster):
    """Ordinary work: jobs of 100 short tasks, until each sidecar has as many connections."""
    for _ in range(12):
        counts = [len(executor.connections) for executor in cluster.executors]
        if min(counts) >= CONNECTIONS:
            return
        await cluster.client.attempt(kit.job_id(), kit.job(100, 150), cluster.entries[0])
    raise RuntimeError("too few connections: %s" % counts)


async def play(cluster):
    await warm_up(cluster)
    cluster.record("connections %s" % [len(e.connections) for e in cluster.executors])
    await asyncio.sleep(1)
    ident = kit.job_id()
    body = kit.job(1, 3400, estimate_ms=900)
    order = [cluster.entries[0], cluster.entries[1]]
    caller = asyncio.ensure_future(cluster.client.submit(ident, body, order))
    await asyncio.sleep(0.5)
    [executor] = [executor for executor in cluster.executors if executor.running]
    if kit.TROUBLE:
        count = executor.silence(lambda connection: not connection.busy)
        cluster.record("%d idle connections to %s go silent" % (count, executor.name))
    await caller
    await asyncio.sleep(2)
    return [
        "TWICE: %s ran on %s (run %d) and %s (run %d) at the same time for %.3f s"
        % (a["task"], a["executor"], a["run"], b["executor"], b["run"], seconds)
        for a, b, seconds in cluster.overlaps()
    ]


kit.main(kit.Cluster(FOLDER, entries=2, sidecars=2), play)
