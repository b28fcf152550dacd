"""All instances are dark while new weights are named. Do requests begin on the old weights for longer than version_ms?

TROUBLE=0: the weights are named at the same moment, and the instances keep running.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from stand_ins import LIMITS, Engine, Instance, Store, now, route, run, send  # noqa: E402

VERSION_S = 15.0  # version_ms
CONTACT_S = 4.0  # contact_ms
DARK_S = 5.0  # how long the machines have no power
ENGINES = 9
SLOTS = 8
QUEUE = 24
RATE = 30  # requests a second at each instance
STREAM_S = 1.2  # how long a request runs, during which its engine does not change weights


async def scenario(record, folder, trouble, started):
    zones = ["marmara-a", "ege-a", "ic-anadolu-a"]
    store = await Store(record).listen()
    store.put_json("op/version/m0", {"model": "m0", "version": 1})
    store.put_json("op/config", {
        "version": 3, "limits": LIMITS,
        "routes": [route("plan", "/plan/", "streaming", "pool", sticky=True, gap_aim_ms=300)],
        "services": [{"name": "pool", "health_path": "/health", "max_connections": 630, "protocol": "h1", "tls": False,
                      "engine": {"slots": SLOTS, "kv_capacity_tokens": 238579, "kv_token_bytes": 18432,
                                 "models": [{"name": "m0"}]}}],
        "tenants": [{"name": "first", "api_keys": ["key-of-first"], "priority": 1, "isolated": False}]})
    engines = [await Engine(record, store, f"engine-{n}", "pool", zones[n % 3], model="m0", work_s=STREAM_S,
                            slots=SLOTS, queue=QUEUE).listen()
               for n in range(ENGINES)]
    instances = [Instance(record, folder, store, f"entry-{n}", zone, zones) for n, zone in enumerate(zones)]
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
                attempt = f"{instance.name}-{number}"
                tasks.append(asyncio.ensure_future(
                    send(record, instance, "/plan/a", attempt, "key-of-first", 8000, "m0",
                         f"{number % 40:04x}:800,{number:08x}{instance.front:04x}:50")))
                number += 1
            await asyncio.sleep(1 / RATE)

    loops = [asyncio.ensure_future(traffic(instance)) for instance in instances]
    await asyncio.sleep(6)  # a leader has been elected
    if trouble:
        await asyncio.gather(*(instance.kill() for instance in instances))
    await asyncio.sleep(0.3)
    store.put_json("op/version/m0", {"model": "m0", "version": 2})
    named_at = now()
    if trouble:
        await asyncio.sleep(DARK_S - 0.3)
        for instance in instances:
            await instance.start()
    started_at = now()
    await asyncio.sleep(named_at + VERSION_S + 8 - now())
    stop = True
    await asyncio.gather(*loops)
    await asyncio.gather(*tasks)
    late = []
    for engine in engines:
        for time, attempt, version, _ in engine.runs:
            if version < 2 and time > named_at + VERSION_S and time > started_at + CONTACT_S:
                late.append(time - named_at)
                record.line("VERSION:", attempt, "began on version", version, "at", engine.name,
                            round(time - named_at, 3), "s after version 2 was acknowledged")
    record.line("begun too late on the old weights:", len(late))
    print(len(late), "requests began on the old weights too late, the last", round(max(late, default=0), 3),
          "s after the acknowledgement")
    return 1 if late else 0


run(FOLDER, scenario)
