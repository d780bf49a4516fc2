"""A new configuration makes a tenant `Isolated` that has shared its KV cache before."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from deployment import BOUNDS, CouldNotRun, play, serve  # noqa: E402
from engines import MODEL, ContextStore, Engine  # noqa: E402

TOKENS = 2_000
LINK_MBPS = 320_000
TRANSFER_S = 0.02
TIME_LIMIT_MS = 12_000
KEYS = {"club": "key-club", "other": "key-other"}


def config(version, store_address, isolated):
    return {"Version": version,
            "Routes": [{"Name": "drafts", "Host": "h", "Prefix": "/drafts/", "Kind": "streaming",
                        "TimeoutMs": TIME_LIMIT_MS, "TargetLatencyMs": 1000, "Priority": 1, "Service": "engines",
                        "MaxAttempts": 1, "Anonymous": False, "Sticky": True, "Resumable": False, "GapTargetMs": 300}],
            "Services": [{"Name": "engines", "MaxConnections": 370, "ColdStartS": 0, "ColdPerS": 0,
                          "Engine": {"Slots": 64, "KvCapacityTokens": 86_580, "KvTokenBytes": 163_840,
                                     "LinkMbps": 550_000, "Managed": True, "Models": [{"Name": MODEL}]}},
                         {"Name": "kept", "KvStoreAddr": store_address, "Zone": "zone-a",
                          "KvCapacityTokens": 1_120_430, "LinkMbps": LINK_MBPS, "MaxInflight": 12, "Managed": True,
                          "first_ms": 6}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "club", "ApiKeys": [KEYS["club"]], "Priority": 1, "Isolated": isolated},
                        {"Name": "other", "ApiKeys": [KEYS["other"]], "Priority": 1}]}


class Caller:
    def __init__(self, deployment, relay):
        self.deployment = deployment
        self.relay = relay
        self.calls = 0

    async def call(self, tenant):
        """Sends a request of `tenant` whose prompt begins with the same part as all others."""
        self.calls += 1
        attempt = f"{tenant}-{self.calls}"
        reader, writer = await asyncio.open_connection(self.relay.ip, self.relay.port)
        writer.write((f"POST /drafts/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\n"
                      f"X-Deadline-Ms: {TIME_LIMIT_MS}\r\nX-Model: {MODEL}\r\nX-Token-Counts: {TOKENS + 100},3\r\n"
                      f"X-Prompt-Prefix: aa:{TOKENS},{self.calls:x}:100\r\nAuthorization: Bearer {KEYS[tenant]}\r\n"
                      "Connection: close\r\nContent-Length: 0\r\n\r\n").encode())
        answer = await asyncio.wait_for(reader.read(), 13)
        writer.close()
        self.deployment.record(f"the client of {attempt} gets {answer[9:12].decode() or 'no answer'}")


async def scenario(deployment):
    kept = ContextStore(deployment, TRANSFER_S)
    _, kept_port = await serve(kept.handle)
    engines = [Engine(deployment, number, kept) for number in range(1, 5)]
    for engine in engines:
        await engine.start()
    deployment.configure(config(1, f"127.0.0.1:{kept_port}", False))
    await deployment.start_relays()
    await asyncio.sleep(6)  # A relay saves nothing to a store that it has known for a few seconds only.
    caller = Caller(deployment, deployment.relays[0])
    await caller.call("club")
    await asyncio.sleep(1)
    if not kept.parts:
        raise CouldNotRun("no part was saved")
    for key, maker in kept.makers.items():
        deployment.record(f"{maker[0]} of the tenant {maker[1]} has made {key}")
    deployment.configure(config(2, f"127.0.0.1:{kept_port}", deployment.trouble))
    acknowledged_at = time.monotonic()
    deployment.record(f"version 2 of the configuration is acknowledged: club has Isolated = {deployment.trouble}")
    await asyncio.sleep(BOUNDS["ConfigMs"] / 1000 + 1)
    for _ in range(5):
        await caller.call("other")
        await caller.call("club")
        await asyncio.sleep(0.5)
    isolated = {"club"} if deployment.trouble else set()
    broken = 0
    for attempt, tenant, key, maker, made_by, arrived_at in kept.uses:
        deployment.record(f"{attempt} of the tenant {tenant} used {key}, made by {maker} of the tenant {made_by}")
        if arrived_at - acknowledged_at > BOUNDS["ConfigMs"] / 1000 and tenant != made_by and isolated & {tenant, made_by}:
            broken += 1
    deployment.record(f"{broken} requests sent later than ConfigMs after the acknowledgement used KV cache that a request of "
                      "another tenant made, one of the two being Isolated")
    # WALL, as written.
    return broken > 0


play(str(HERE), scenario)
