"""Stand-ins for the servers and clients of a small deployment. The store is the one of the project's soak test."""

import asyncio
import hashlib
import json
import os
import random
import sys
import tempfile
import time
import traceback

import setting  # Also makes the soak's modules importable.
from standins import Store
from wire import NoAnswer, encode_response, read_answer, read_request, reset, serve

HEARTBEAT_S = 1.2
HOST = "clubs.example"
KEY = "bozi-key-1"
TENANT = "bozi"


class Record:
    """The lines of record.txt."""

    def __init__(self, folder):
        self.began_at = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.file.flush()


def route(name, kind, service, timeout_ms, goal_ms, attempts=1, resumable=False):
    return {"Name": name, "Host": HOST, "Prefix": f"/{name}/", "Kind": kind, "TimeoutMs": timeout_ms,
            "TargetLatencyMs": goal_ms, "Service": service, "MaxAttempts": attempts, "Resumable": resumable,
            "Priority": 1, "Sticky": kind == "streaming"}


def configuration(version, routes, services, tenants=None, limits=None):
    document = {"Version": version, "Routes": routes, "Services": services,
                "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                                     "IdleTimeoutMs": 10000},
                "Tenants": tenants or [{"Name": TENANT, "ApiKeys": [KEY]}]}
    return json.dumps(document).encode()


def engine_service(name, models=("m0",), channels=370):
    return {"Name": name, "MaxConnections": channels, "HealthPath": "/health", "ColdPerS": 9.6,
            "Engine": {"Slots": 64, "KvCapacityTokens": 86580, "KvTokenBytes": 163840, "LinkMbps": 550000,
                       "Models": [{"Name": model} for model in models]}}


def plain_service(name, channels=110):
    return {"Name": name, "MaxConnections": channels, "HealthPath": "/health", "ColdPerS": 0}


class Server:
    """A server of a service: a model server if it has models, else a plain one."""

    def __init__(self, name, store, record, service, models=None, zone="zone-a", slots=64):
        self.name, self.store, self.record, self.service = name, store, record, service
        self.versions = dict(models or {})
        self.zone, self.slots = zone, slots
        self.runs = []  # (time, attempt, tenant, headers)
        self.writers = set()
        self.is_up = True
        self.sequence = 0
        self.orders = 0
        self.highest_token = 0
        self.born = 0
        self.id = ""
        self.port = 0
        self.server = None
        self.starts = 0
        self.fields = []  # Further fields of all answers.
        self.work_s = (0.04, 0.08)
        self.event_s = 0.02
        self.events = 20

    async def start(self):
        self.server, self.port = await serve(self.accept, self.port)
        self.begin()

    def begin(self):
        self.starts += 1
        self.is_up = True
        self.id = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.orders = self.highest_token = 0
        self.register()

    def entry(self):
        self.sequence += 1
        entry = {"Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": self.zone, "Version": "v1",
                 "Slots": self.slots, "State": "ready", "ColdRemainingMs": 0, "Seq": self.sequence, "born": self.born}
        if self.versions:
            entry["Stage"] = "colocated"
            entry["Models"] = [{"Name": name, "Version": version, "Adapters": []}
                               for name, version in self.versions.items()]
        return entry

    def register(self):
        self.store.put(f"servers/{self.id}", json.dumps(self.entry()).encode())

    def crash(self, back_after_s):
        """Ends the server: its channels are reset, and new ones are refused until it starts anew at its address. It
        sends nothing, so that its entry goes after three check-in intervals of silence."""
        if not self.is_up:
            return
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.store.delete, f"servers/{self.id}")
        self.coming = loop.create_task(self.come_back(back_after_s))

    async def come_back(self, after_s):
        await asyncio.sleep(after_s)
        await self.start()

    async def accept(self, reader, writer):
        if not self.is_up:
            return reset(writer)
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    return
                await writer.drain()
        finally:
            self.writers.discard(writer)

    async def handle(self, request, reader, writer):
        if request.target == "/health":
            writer.write(encode_response(200, [("X-Instance-Id", self.id)]))
            return True
        expected = request.header("x-expect-instance")
        attempt = request.header("x-attempt-id")
        if expected and expected != self.id:
            writer.write(encode_response(421, [("X-Attempt-Id", attempt)]))
            return True
        if request.target == "/-/report":
            return await self.report(writer)
        if request.target == "/-/order":
            return await self.order(json.loads(request.body), writer)
        wanted = request.header("x-expect-version")
        if wanted and self.versions and int(wanted) != self.versions.get(request.header("x-model")):
            writer.write(encode_response(421, [("X-Attempt-Id", attempt)]))
            return True
        return await self.run(request, attempt, writer)

    async def report(self, writer):
        models = [{"Name": name, "Version": version, "Adapters": []} for name, version in self.versions.items()]
        body = {"Stage": "colocated", "Models": models, "Busy": False, "Seq": self.orders, "Queued": 0, "Running": 0,
                "KvUsed": 0, "KvTotal": 86580, "Handles": 0, "born": self.born}
        writer.write(encode_response(200, [("Content-Type", "application/json")], json.dumps(body).encode()))
        return True

    async def order(self, order, writer):
        self.record.write(f"order at {self.id}: {json.dumps(order)}")
        if order["Fence"] < self.highest_token:
            writer.write(encode_response(412))
            return True
        self.highest_token = order["Fence"]
        if "Expected" in order and order["Expected"] != self.orders:
            writer.write(encode_response(409))
            return True
        if self.versions.get(order["Model"]) == order["Version"]:
            writer.write(encode_response(200))
            return True
        self.orders += 1
        asyncio.get_running_loop().call_later(0.3, self.loaded, order["Model"], order["Version"], self.starts)
        writer.write(encode_response(202))
        return True

    def loaded(self, model, version, start):
        if self.is_up and start == self.starts:
            self.versions[model] = version
            self.register()

    def note_run(self, request, attempt):
        self.runs.append((time.monotonic(), attempt, request.header("x-tenant"), request.headers))
        self.record.write(f"run at {self.id}: {attempt} {request.method} {request.target} "
                          f"tenant={request.header('x-tenant')}")

    async def run(self, request, attempt, writer):
        self.note_run(request, attempt)
        fields = [("X-Attempt-Id", attempt), ("X-Server-Seal", f"seal-{attempt}")] + self.fields
        if request.header("x-token-counts"):
            return await self.stream(request, attempt, fields, writer)
        await asyncio.sleep(random.uniform(*self.work_s))
        writer.write(encode_response(200, fields, body_of(attempt)))
        return True

    async def stream(self, request, attempt, fields, writer):
        first = int(request.header("last-event-id", "0") or 0) + 1
        head = ["HTTP/1.1 200 OK"] + [f"{n}: {v}" for n, v in fields]
        head += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = event_of(attempt, number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


def body_of(attempt):
    return hashlib.sha256(attempt.encode()).hexdigest().encode() * 12


def event_of(attempt, number):
    return f"id: {number}\ndata: {attempt}-{number}\n\n".encode()


class Answer:
    def __init__(self, status=0, headers=None, body=b"", complete=False, problem="", took=0.0):
        self.status, self.headers, self.body = status, headers or {}, body
        self.complete, self.problem, self.took = complete, problem, took

    def __str__(self):
        return (f"status={self.status} complete={self.complete} bytes={len(self.body)} took={self.took:.2f} "
                f"{self.problem}")


async def call(port, record, attempt, path, method="POST", body=b"", deadline_ms=3000, key=KEY, prompt=None, fields=()):
    """Sends one request on a new channel and returns its answer."""
    head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}", f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {key}"]
    if prompt:
        counts, parts, model = prompt
        head += [f"X-Model: {model}", f"X-Token-Counts: {counts}", f"X-Prompt-Prefix: {parts}"]
    head += [f"{name}: {value}" for name, value in fields]
    head += [f"Content-Length: {len(body)}"]
    began = time.monotonic()
    record.write(f"sent {attempt} {method} {path}")
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        status, headers, content, complete = await asyncio.wait_for(read_answer(reader), deadline_ms / 1000 + 1)
        answer = Answer(status, headers, content, complete)
    except NoAnswer as problem:
        answer = Answer(problem=f"no answer: {problem}")
    except asyncio.TimeoutError:
        answer = Answer(problem="gave up")
    except (ConnectionError, OSError) as problem:
        answer = Answer(problem=f"channel: {problem!r}")
    finally:
        if writer is not None:
            writer.close()
    answer.took = time.monotonic() - began
    record.write(f"answered {attempt}: {answer}")
    return answer


def run_case(main):
    """Runs `main` in a temporary folder and ends the process with its result, or with 2 if it couldn't run."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(main(folder))
        except (Exception, KeyboardInterrupt):  # A failed stand-in is no broken rule.
            traceback.print_exc()
            status = 2
    sys.exit(status)
