"""The store is down for 4.5 s while all instances but one are killed. Does that one learn of a draining engine afterwards?

TROUBLE=0: the store stays up and no instance is killed.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from stand_ins import LIMITS, Engine, Instance, Link, Store, free_port, now, route, run, send  # noqa: E402

DRAIN_S = 3.0  # drain_ms
DOWN_S = 4.5  # how long the store is down
RESTART_S = 0.5  # from the kill of a process to its start
REGION_S = 0.03  # one way between regions


async def scenario(record, folder, trouble, started):
    zones = ["marmara-a", "ege-a", "ic-anadolu-a"]
    store = await Store(record).listen()
    store.put_json("op/config", {
        "version": 3, "limits": LIMITS,
        "routes": [route("read", "/read/", "idempotent", "desk", timeout_ms=3000, target_latency_ms=200)],
        "services": [{"name": "desk", "health_path": "/health", "max_connections": 110, "protocol": "h1",
                      "tls": False}],
        "tenants": [{"name": "first", "api_keys": ["key-of-first"], "priority": 1, "isolated": False}]})
    engines = [await Engine(record, store, f"desk-{n}", "desk", zones[n], work_s=0.015).listen() for n in range(3)]
    instances = []
    for number, zone in enumerate(zones):
        port = free_port()
        link = await Link(port, REGION_S).listen()
        instances.append(Instance(record, folder, store, f"entry-{number}", zone, zones, port, link.port))
    started.extend(instances)
    for instance in instances:
        await instance.start()
    for instance in instances:
        if not await instance.wait_until_ready():
            return 2
    stop, tasks = False, []

    async def traffic(instance):
        number = 0
        while not stop:
            if instance.process.returncode is None:
                tasks.append(asyncio.ensure_future(
                    send(record, instance, "/read/x", f"{instance.name}-{number}", "key-of-first", 3000)))
                number += 1
            await asyncio.sleep(0.1)

    loops = [asyncio.ensure_future(traffic(instance)) for instance in instances]
    await asyncio.sleep(6)
    survivor, others = instances[0], instances[1:]
    if trouble:
        store.go_down()
        await asyncio.sleep(0.5)
        await asyncio.gather(*(instance.kill() for instance in others))
        await asyncio.sleep(RESTART_S)
        for instance in others:
            await instance.start()
        await asyncio.sleep(DOWN_S - 0.5 - RESTART_S)
        store.come_back()
    await asyncio.sleep(10)
    # The store has been back for 10 s (contact_ms is 4,000), and the survivor was never disturbed.
    engines[0].drain()
    drained_at = now()
    await asyncio.sleep(DRAIN_S + 6)
    stop = True
    await asyncio.gather(*loops)
    await asyncio.gather(*tasks)
    late = [(time, attempt) for time, attempt, _ in engines[0].arrivals if time > drained_at + DRAIN_S]
    for time, attempt in late:
        record.line("DRAIN:", attempt, "reached the draining engine", round(time - drained_at, 3),
                    "s after the acknowledgement")
    by_survivor = sum(attempt.startswith(survivor.name) for _, attempt in late)
    record.line("late arrivals:", len(late), "of them by the instance that was not killed:", by_survivor)
    print(len(late), "requests reached the draining engine too late,", by_survivor, "by the instance that was not killed")
    return 1 if late else 0


run(FOLDER, scenario)
