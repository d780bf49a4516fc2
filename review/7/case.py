"""A relay's registration is written twice since the first write got no answer; the first one is carried out late. Later
the relay is cut off from the platform's store for some seconds while new weights are named.

TROUBLE=0 plays neither; TROUBLE=cut plays only the cut, TROUBLE=late only the late write.
"""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from deployment import CouldNotRun, Proxy, play, serve  # noqa: E402
from engines import MODEL, ContextStore, Engine  # noqa: E402

LATE_S = 3.0  # "how late (done 1 to 6 s later)" (kinds)
TOKENS = 5_600  # of the shared part; the site file has 8,610 on average
TOKEN_BYTES = 163_840
LINK_MBPS = 10_000
FIRST_MS = 5
TRANSFER_S = TOKENS * TOKEN_BYTES * 8 / (LINK_MBPS * 1e6) + FIRST_MS / 1000  # 0.74 s
LONG_TOKENS = 150  # of a stream that goes on for 4.5 s; the site file has up to 160 pieces
BUMPS = 6
BUMP_EVERY_S = 9.0
CUT_S = 3.9  # of the second relay from the platform's store; the site files have cuts of up to 7.7 s
TIME_LIMIT_MS = 12_000


def config(store_address):
    return {"Version": 1,
            "Routes": [{"Name": "chapters", "Host": "h", "Prefix": "/chapters/", "Kind": "streaming",
                        "TimeoutMs": TIME_LIMIT_MS, "TargetLatencyMs": 1000, "Service": "engines", "MaxAttempts": 1,
                        "Sticky": True, "GapTargetMs": 300}],
            "Services": [{"Name": "engines", "MaxConnections": 370, "ColdStartS": 0, "ColdPerS": 0,
                          "Engine": {"Slots": 64, "KvCapacityTokens": 86_580, "KvTokenBytes": TOKEN_BYTES,
                                     "LinkMbps": 550_000, "Managed": True, "Models": [{"Name": MODEL}]}},
                         {"Name": "kept", "KvStoreAddr": store_address, "Zone": "zone-a",
                          "KvCapacityTokens": 1_120_430, "LinkMbps": LINK_MBPS, "MaxInflight": 12, "Managed": True,
                          "first_ms": FIRST_MS}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "team", "ApiKeys": ["key"]}]}


class Case:
    def __init__(self, deployment):
        self.deployment = deployment
        self.calls = 0
        self.late = None
        self.renewed = {}  # by lease: when it was renewed last

    def watch_renewals(self):
        """Records when leases of the platform's store are renewed."""
        store = self.deployment.store
        answer = store.handle_call

        async def recorded(request, path, arguments):
            status, body = await answer(request, path, arguments)
            if path.startswith("/-/kv-keep/") and status == 200:
                self.renewed[int(path.rsplit("/", 1)[1])] = time.monotonic()
            return status, body

        store.handle_call = recorded

    async def renewal(self, lease):
        """Waits for the next renewal of `lease`."""
        before = self.renewed.get(lease)
        end = time.monotonic() + 4
        while self.renewed.get(lease) == before and time.monotonic() < end:
            await asyncio.sleep(0.005)

    def lose_first_registration(self):
        """The first write of the second relay's registration is not answered and carried out late."""
        store = self.deployment.store
        transact = store.transact

        async def carry_out(call):
            await asyncio.sleep(LATE_S)
            store.end_leases()
            status, _ = transact(call)
            self.deployment.record(f"the platform's store carries out that write: {status}")

        def first_is_late(call):
            keys = [row["Key"] for row in call.get("Puts", [])]
            if not any("/processes/front-2" in key for key in keys):
                return transact(call)
            if self.late is None and self.deployment.trouble_kind in ("1", "late"):
                self.late = keys[0]
                self.deployment.record(f"the platform's store does not answer the write of {self.late}")
                asyncio.get_running_loop().create_task(carry_out(call))
                raise ConnectionError("no answer")
            self.lease = call["Puts"][0]["Lease"]
            return transact(call)

        store.transact = first_is_late

    async def call(self, relay, name, parts, output=3):
        """Sends a request whose prompt has the shared `parts` (ID, tokens) and one of its own. Returns its id."""
        self.calls += 1
        attempt = f"{name}-{self.calls}"
        prompt = [*parts, (f"{self.calls:x}", 100)]
        self.deployment.record(f"the client sends {attempt} to {relay.name}", False)
        try:
            reader, writer = await asyncio.open_connection(relay.ip, relay.port)
            writer.write((f"POST /chapters/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\n"
                          f"X-Deadline-Ms: {TIME_LIMIT_MS}\r\nX-Model: {MODEL}\r\n"
                          f"X-Token-Counts: {sum(tokens for _, tokens in prompt)},{output}\r\n"
                          f"X-Prompt-Prefix: {','.join(f'{part}:{tokens}' for part, tokens in prompt)}\r\n"
                          "Authorization: Bearer key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").encode())
            answer = await asyncio.wait_for(reader.read(), 13)
            writer.close()
            self.deployment.record(f"the client of {attempt} gets {answer[9:12].decode() or 'no answer'}", False)
        except (OSError, asyncio.TimeoutError) as problem:
            self.deployment.record(f"{attempt} at {relay.name}: {problem!r}")
        return attempt

    async def caller(self, relay, name, parts, every):
        while True:
            await asyncio.gather(self.call(relay, name, parts), asyncio.sleep(every))

    async def part_at(self, relay, engine, tokens):
        """Returns a shared part for whose prompts `relay` prefers `engine`."""
        for number in range(60):
            part = f"{engine.id[2:]}b{number:02x}"
            attempt = await self.call(relay, "look", [(part, tokens)])
            if any(run[0] == attempt for run in engine.runs):
                return part
        raise CouldNotRun(f"no prompt is placed at {engine.id}")


async def scenario(deployment):
    case = Case(deployment)
    kept = ContextStore(deployment, TRANSFER_S)
    _, kept_port = await serve(kept.handle)
    engines = [Engine(deployment, number, kept) for number in range(1, 5)]
    for engine in engines:
        await engine.start()
    deployment.configure(config(f"127.0.0.1:{kept_port}"))
    case.watch_renewals()
    case.lose_first_registration()
    await deployment.start_relays(1)
    await asyncio.sleep(1.5)  # The first relay takes the lease on orders.
    path_to_store = Proxy(deployment.store.port)
    await path_to_store.start()
    await deployment.add_relay(2, store_address=f"127.0.0.1:{path_to_store.port}")
    first, second = deployment.relays
    loop = asyncio.get_running_loop()
    await asyncio.sleep(2)
    long_part = await case.part_at(second, engines[2], 500)
    part = await case.part_at(second, engines[3], TOKENS)
    # The first relay's callers have short prompts; those of the second one come with the same long part again.
    tasks = [loop.create_task(case.caller(first, "first", [], 0.3)),
             loop.create_task(case.caller(second, "second", [(part, TOKENS)], 0))]
    await asyncio.sleep(12)
    registered = sorted(key for key in deployment.store.items if "/processes/" in key)
    deployment.record(f"registered: {', '.join(registered)}")
    for version in range(2, 2 + BUMPS):
        tasks.append(loop.create_task(case.call(second, "long", [(long_part, 500)], LONG_TOKENS)))
        await asyncio.sleep(0.2)
        cut = deployment.trouble_kind in ("1", "cut")
        await case.renewal(case.lease)
        await asyncio.sleep(0.1)
        if cut:
            path_to_store.mode = "silent"
            deployment.record("front-2 is cut off from the platform's store")
        await asyncio.sleep(0.1)
        deployment.record(f"the operator names version {version}")
        deployment.store.put(f"op/version/{MODEL}", json.dumps({"Model": MODEL, "Version": version}).encode())
        await asyncio.sleep(CUT_S)
        if cut:
            path_to_store.mode = "pass"
            deployment.record("front-2 reaches the platform's store again")
        await asyncio.sleep(BUMP_EVERY_S - CUT_S)
        if kept.freed_under_fetch:
            break
    for task in tasks:
        task.cancel()
    deployment.record(f"{case.calls} requests; {len(kept.freed_under_fetch)} used memory that was freed under their fetch")
    return bool(kept.freed_under_fetch)


play(str(HERE), scenario)
