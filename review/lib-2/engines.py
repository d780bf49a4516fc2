"""Stand-ins of a model server and of a store of kept KV cache, as far as the cases of this review need them."""

import asyncio
import json
import random
import time

from wire import encode_response, read_request, serve

MODEL = "m"
HEARTBEAT_S = 1.2  # HeartbeatMs of the settings
LOAD_S = 0.29  # "new weights take a server 0.29 s" (sheet)
PREFILL_TOKENS_PER_S = 61_800
TOKEN_S = 0.03


class ContextStore:
    """A managed store of KV cache."""

    def __init__(self, deployment, transfer_s):
        self.deployment = deployment
        self.transfer_s = transfer_s  # of one part, over the link of the store
        self.parts = {}  # (salt, ID) -> tokens of complete parts
        self.makers = {}  # (salt, ID) -> (attempt, tenant) of the request that made it
        self.uses = []  # (attempt, tenant, (salt, ID), maker's attempt, maker's tenant, when the request arrived)
        self.events = []
        self.epoch = 1
        self.changed = asyncio.Event()
        self.transfers = []  # in flight: [(salt, ID), attempt, freed meanwhile]
        self.freed_under_fetch = []  # attempts that have used such a part

    def tell(self, sign, key, tokens):
        self.events.append([len(self.events) + 1, sign, key[0], key[1], tokens, MODEL])
        self.changed.set()
        self.changed = asyncio.Event()

    def save(self, key, tokens, maker):
        if key not in self.parts:
            self.parts[key] = tokens
            self.makers[key] = maker
            self.tell("+", key, tokens)

    async def handle(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            path, _, query = request.target.partition("?")
            body = {}
            if path == "/-/kv-events":
                since = int(query.partition("=")[2])
                end = time.monotonic() + min(int(request.header("wait-ms", "0")), 1000) / 1000
                while len(self.events) <= since and (left := end - time.monotonic()) > 0:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
                body = {"Epoch": self.epoch, "Next": len(self.events), "Lost": False, "Events": self.events[since:],
                        "clock_ms": int(time.time() * 1000)}
            elif path == "/-/kv-list":
                body = {"Epoch": self.epoch, "Next": len(self.events),
                        "Held": [[*key, tokens, MODEL] for key, tokens in self.parts.items()]}
            elif path == "/-/kv-free":
                self.free(json.loads(request.body))
            writer.write(encode_response(200, (), json.dumps(body).encode()))
            await writer.drain()

    def free(self, call):
        if call.get("Epoch", self.epoch) != self.epoch:
            return
        for key in map(tuple, call["parts"]):
            if self.parts.pop(key, None) is None:
                continue
            self.deployment.record(f"the store frees {key}")
            self.tell("-", key, 0)
            for transfer in self.transfers:
                if transfer[0] == key:
                    transfer[2] = True


class Engine:
    """A model server: takes orders with `queue`, checks what a request expects, fetches and saves parts."""

    def __init__(self, deployment, number, kept=None):
        self.deployment = deployment
        self.kept = kept
        self.id = f"i-{number}"
        self.runs = []  # (attempt, version, when)
        self.version = 1
        self.accepted = 0
        self.loading = False
        self.running = 0
        self.idle = asyncio.Event()
        self.sequence = 0
        self.seen_fence = 0

    async def start(self):
        self.server, port = await serve(self.handle)
        self.address = f"127.0.0.1:{port}"
        self.register()
        asyncio.get_running_loop().create_task(self.beat())

    def register(self):
        self.sequence += 1
        self.deployment.register(self.id, "engines", self.address, Slots=64, Seq=self.sequence, born=1,
                                      Models=[{"Name": MODEL, "Version": self.version, "Adapters": []}])

    async def beat(self):
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        told = self.version
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if told != self.version:  # "The entry changes when more than `Seq` changes."
                told = self.version
                self.register()

    async def handle(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            if request.target == "/-/report":
                body = {"Stage": "colocated", "Models": [{"Name": MODEL, "Version": self.version, "Adapters": []}],
                        "Busy": self.loading, "Seq": self.accepted, "Queued": 0, "Running": self.running}
                writer.write(encode_response(200, (), json.dumps(body).encode()))
            elif request.header("x-expect-instance", self.id) != self.id:
                writer.write(encode_response(421, [("X-Attempt-Id", request.header("x-attempt-id"))]))
            elif request.target == "/-/order":
                writer.write(encode_response(self.take_order(json.loads(request.body))))
            else:
                await self.run(request, writer)
            await writer.drain()

    def take_order(self, order):
        status = self.order_status(order)
        self.deployment.record(f"{self.id} answers the order of version {order['Version']} with {status}", False)
        return status

    def order_status(self, order):
        if order["Fence"] < self.seen_fence:
            return 412
        self.seen_fence = order["Fence"]
        if self.version == order["Version"]:
            return 200
        if self.loading or order.get("Expected", self.accepted) != self.accepted:
            return 409
        self.accepted += 1
        self.loading = True
        asyncio.get_running_loop().create_task(self.load(order["Version"]))
        return 202

    async def load(self, version):
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.version = version
        self.loading = False
        self.deployment.record(f"{self.id} has version {version}")

    async def run(self, request, writer):
        attempt = request.header("x-attempt-id")
        fields = [("X-Attempt-Id", attempt), ("X-Weight-Versions", str(self.version))]
        if self.loading:
            writer.write(encode_response(503, fields + [("X-Not-Run", "1")]))
            return
        if int(request.header("x-expect-version", self.version)) != self.version:
            writer.write(encode_response(421, fields))
            return
        self.running += 1
        self.runs.append((attempt, self.version, time.monotonic()))
        self.deployment.record(f"{self.id} runs {attempt} with version {self.version}; "
                               f"fetch: {request.header('x-kv-fetch-from') or 'none'}", False)
        try:
            await self.read_prompt(request, attempt)
            fields += [("X-Server-Seal", "seal"), ("Content-Type", "text/event-stream"),
                       ("Transfer-Encoding", "chunked")]
            writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields) + "\r\n").encode())
            for number in range(1, int(request.header("x-token-counts").split(",")[1]) + 1):
                event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(TOKEN_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1

    async def read_prompt(self, request, attempt):
        salt = request.header("x-cache-salt")
        tenant = request.header("x-tenant")
        arrived_at = time.monotonic()
        parts = [item.split(":") for item in request.header("x-prompt-prefix").split(",")]
        fetch = (request.header("x-kv-fetch-from") or ",".join("-" * len(parts))).split(",")
        save = (request.header("x-kv-save-to") or ",".join("-" * len(parts))).split(",")
        until = int(request.header("x-kv-until", "0")) / 1000
        for (part, tokens), source, target in zip(parts, fetch, save):
            key = (salt, part)
            if source != "-" and self.kept and key in self.kept.parts:
                maker = self.kept.makers[key]
                if await self.fetch(key, attempt, until):
                    self.kept.uses.append((attempt, tenant, key, *maker, arrived_at))
            else:
                await asyncio.sleep(int(tokens) / PREFILL_TOKENS_PER_S)
                if target != "-" and self.kept:
                    self.kept.save(key, int(tokens), (attempt, tenant))

    async def fetch(self, key, attempt, until):
        """Fetches a part. Returns False if that took too long, so that the prompt is read."""
        transfer = [key, attempt, False]
        self.kept.transfers.append(transfer)
        began = time.time()
        await asyncio.sleep(max(0, min(self.kept.transfer_s, until - began) if until else self.kept.transfer_s))
        self.kept.transfers.remove(transfer)
        ended = time.time()
        if until and ended >= until:
            self.deployment.record(f"{self.id}: {attempt} throws its fetch of {key} away")
            return False
        if transfer[2]:
            self.kept.freed_under_fetch.append(attempt)
            self.deployment.record(f"{self.id}: {attempt} has fetched {key} over {ended - began:.2f} s, "
                                   "and the part was freed before the fetch had ended")
        return True
