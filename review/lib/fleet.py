"""A small deployment on loopback for the cases of this review: real relay processes, the project's stand-in of the
platform's store, stand-ins of servers, and clients.

A case calls run(case), where case(fleet) is a coroutine that returns the list of broken rules that it has seen.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "platform", "soak"))

from standins import Store  # noqa: E402
from wire import encode_response, read_head, read_request, reset, serve  # noqa: E402,F401

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CASE_FOLDER = os.path.dirname(os.path.abspath(sys.argv[0]))
HEARTBEAT_S = 1.2  # HeartbeatMs of DEPLOY.md

# What deploy/relay.toml.in takes from the bounds of sites like tallowood-drawers.
BOUNDS = {"order_settle_ms": 3000, "stop_grace_s": 8, "config_limit_ms": 2000, "leave_limit_ms": 2000,
          "version_limit_ms": 8000, "retry_slack": 58, "retry_share": 0.2, "cold_factor": 1.5, "cold_slack": 5}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


used_ports = set()


def free_port():
    """Returns a free port below the ports that the system gives to outgoing connections."""
    for _ in range(1000):
        port = random.randrange(15000, 32000)
        if port in used_ports:
            continue
        try:
            with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
        except OSError:
            continue
        used_ports.add(port)
        return port
    raise CannotRun("no free port")


class Relay:
    """A relay process, started with the command of deploy/system.toml and the settings of deploy/relay.toml.in."""

    def __init__(self, number, fleet):
        self.number = number
        self.fleet = fleet
        self.name = f"front-z1-{number + 1}"
        self.process = None
        self.settings = os.path.join(fleet.folder, f"relay-{number}.toml")
        self.choose_ports()

    def choose_ports(self):
        self.front = free_port()
        self.readiness = free_port()
        lines = ["[relay]", f'process = "{self.name}"', 'failure_domain = "z1"',
                 f'callers_address = "127.0.0.1:{self.front}"', f'peers_address = "127.0.0.1:{free_port()}"',
                 f'metrics_address = "127.0.0.1:{free_port()}"',
                 f'readiness_address = "127.0.0.1:{self.readiness}"']
        lines += [f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items()]
        lines += ["[store]", f'address = "127.0.0.1:{self.fleet.store.port}"', ""]
        with open(self.settings, "w", encoding="ascii") as file:
            file.write("\n".join(lines))

    async def start(self):
        with open(os.path.join(self.fleet.folder, f"relay-{self.number}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target/src/marigold-relay"), "--config", self.settings, cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.fleet.record(f"{self.name} started")

    async def ready(self):
        """Waits until the platform's readiness probe succeeds."""
        for _ in range(200):
            if self.process.returncode is not None:  # Another program has taken one of its ports.
                self.choose_ports()
                await self.start()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0]:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.fleet.record(f"{self.name} gets {signal.Signals(number).name}")

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()


class Server:
    """Base of the stand-ins of servers. Registers itself in the store, as PROTOCOL.md tells under Service discovery."""

    def __init__(self, fleet, service, number, slots=6):
        self.fleet = fleet
        self.service = service
        self.id = f"i-{service}-{number}"
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.port = 0
        self.address = ""
        self.task = None

    async def start(self):
        _, self.port = await serve(self.serve_connection)
        self.address = self.address or f"127.0.0.1:{self.port}"
        self.task = asyncio.create_task(self.check_in())

    def entry(self):
        self.sequence += 1
        return {"Service": self.service, "Address": self.address, "Zone": "z1", "Version": "v1", "Slots": self.slots,
                "State": "ready", "ColdRemainingMs": 0, "Seq": self.sequence, "born": self.born}

    def register(self):
        self.fleet.store.put(f"servers/{self.id}", json.dumps(self.entry()).encode())

    async def check_in(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve_connection(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            expected = request.header("x-expect-instance")
            if expected and expected != self.id:
                writer.write(encode_response(421, [("X-Attempt-Id", request.header("x-attempt-id")),
                                                   ("X-Instance-Id", self.id)]))
            elif not await self.answer(request, writer):
                return
            await writer.drain()

    async def answer(self, request, writer):
        """Answers a request; returns False if the connection is to be closed."""
        raise NotImplementedError


class Fleet:
    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="marigold-review-")
        self.store = Store()
        self.relays = []
        self.servers = []
        self.begin = time.monotonic()
        self.file = open(os.path.join(CASE_FOLDER, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def record(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    async def start(self, config, servers, relays):
        """Starts the store, the servers and the relays, and waits until all relays are ready."""
        await self.store.start()
        self.store.put("op/config", json.dumps(config).encode())
        self.servers = servers
        for server in servers:
            await server.start()
        for number in range(relays):
            self.relays.append(Relay(number, self))
            await self.relays[-1].start()
        for relay in self.relays:
            await relay.ready()
        await asyncio.sleep(1.0)
        self.record("all relays are ready")

    async def end(self):
        for relay in self.relays:
            await relay.end()
        for server in self.servers:
            if server.task:
                server.task.cancel()
        self.file.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(routes, services, tenants):
    return {"Version": 3, "Routes": routes, "Services": services, "Tenants": tenants,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


def say(text):
    try:
        print(text, flush=True)
    except BrokenPipeError:  # Nobody reads the output; the result is the exit status.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def run(case):
    """Plays the case and ends the program: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    async def play():
        fleet = Fleet()
        loop = asyncio.get_running_loop()
        playing = asyncio.create_task(case(fleet))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, playing.cancel)
        try:
            broken = await asyncio.wait_for(playing, 100)
            for line in broken[:20]:
                fleet.record(f"BROKEN {line}")
            fleet.record(f"result: {'broken' if broken else 'held'}, {len(broken)} times; trouble {'on' if TROUBLE else 'off'}")
            say("\n  ".join([f"{'broken' if broken else 'held'}: {len(broken)} times", *broken[:5]]))
            return 1 if broken else 0
        finally:
            await fleet.end()

    try:
        status = asyncio.run(play())
    except (CannotRun, asyncio.CancelledError, asyncio.TimeoutError, OSError) as problem:
        say(f"the case could not run: {problem!r}")
        status = 2
    except Exception as problem:  # A fault of the case itself is not a broken rule.
        import traceback
        traceback.print_exc()
        status = 2
    sys.exit(status)
