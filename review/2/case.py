"""A tenant becomes isolated by a new configuration. Do others still use the KV cache that its requests made?

TROUBLE=0: the second configuration changes a timeout only, and the first tenant stays as it was (not isolated).
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from stand_ins import LIMITS, Engine, Instance, Store, route, run, send  # noqa: E402

APPLY_S = 3.0  # config_apply_ms
SHARED = "5c1e07a2:800"  # part of prompts that both tenants send


def config(version, isolated, timeout_ms):
    return {"version": version, "limits": LIMITS,
            "routes": [route("plan", "/plan/", "streaming", "pool", sticky=True, gap_aim_ms=300,
                             timeout_ms=timeout_ms)],
            "services": [{"name": "pool", "health_path": "/health", "max_connections": 630, "protocol": "h1",
                          "tls": False, "engine": {"slots": 128, "kv_capacity_tokens": 238579,
                                                   "kv_token_bytes": 18432, "models": [{"name": "m0"}]}}],
            "tenants": [{"name": "first", "api_keys": ["key-of-first"], "priority": 1, "isolated": isolated},
                        {"name": "second", "api_keys": ["key-of-second"], "priority": 1, "isolated": False}]}


async def scenario(record, folder, trouble, started):
    zones = ["marmara-a"]
    store = await Store(record).listen()
    store.put_json("op/version/m0", {"model": "m0", "version": 1})
    store.put_json("op/config", config(3, False, 8000))
    isolated_since = []  # when the store acknowledged that "first" is isolated
    broken = []
    engines = []
    for number in range(2):
        engine = Engine(record, store, f"engine-{number}", "pool", zones[0], model="m0")

        def on_use(tenant, maker, part):
            if isolated_since and tenant != maker and "first" in (tenant, maker):
                broken.append((tenant, maker, part))
                record.line("WALL: a request of", tenant, "uses part", part, "that a request of", maker, "made")

        engine.on_use = on_use
        engines.append(await engine.listen())
    instance = Instance(record, folder, store, "entry-0", zones[0], zones)
    started.append(instance)
    await instance.start()
    if not await instance.wait_until_ready():
        return 2

    async def ask(tenant, number):
        return await send(record, instance, "/plan/a", f"{tenant}-{number}", f"key-of-{tenant}", 8000, "m0",
                          f"{SHARED},{tenant}{number:04x}:50")

    served = [await ask("first", number) for number in range(4)]
    if served != [200] * 4:
        return 2
    store.put_json("op/config", config(8, trouble, 8000 if trouble else 7000))
    if trouble:
        isolated_since.append(True)
    await asyncio.sleep(APPLY_S + 2)
    # Later than config_apply_ms after the acknowledgement; the instance is in touch all the while.
    served = [await ask("second", number) for number in range(4, 12)]
    if served != [200] * 8:
        return 2
    record.line("uses across the wall:", len(broken))
    return 1 if broken else 0


run(FOLDER, scenario)
