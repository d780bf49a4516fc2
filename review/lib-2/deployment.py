"""A small deployment on loopback addresses for the scripts of this review.

Starts the relay with the command and the settings template of the deploy file, each one at a loopback address of its
own, against the project's stand-in of the platform's store (platform/soak/standins.py) and servers of the script.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "soak"))

from standins import Store  # noqa: E402
from wire import Proxy, encode_response, read_request, reset, serve  # noqa: E402, F401

# Bounds as in the site files of the users' pages (sites/kodakivi-events.toml and its sheet).
BOUNDS = {"FencingEnforced": True, "LeaseMs": 3000, "GraceS": 8, "ConfigMs": 2000, "DrainMs": 2000, "VersionMs": 6000,
          "StableMs": 3000, "RetrySlack": 56, "RetryBudgetRatio": 0.2, "ColdFactor": 1.5, "ColdSlack": 5}
LIMITS = {"MemoryMb": 110, "MaxFds": 4100}


class CouldNotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def fill_in(template, fields):
    """Fills in the settings template with the placeholders that the deploy file uses."""

    def value_of(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    def section(match):
        value = value_of(match.group(1))
        return match.group(2) if value not in (None, False, "") else ""

    def placeholder(match):
        name, _, style = match.group(1).partition("|")
        value = value_of(name)
        if style == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", placeholder, text)


class Relay:
    """A process of the role `relay` of the deploy file."""

    def __init__(self, deployment, number, store_address, **limits):
        self.deployment = deployment
        self.name = f"front-{number}"
        # Each machine has its own address, since all use the same port for metrics.
        self.ip = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}.{random.randrange(2, 250)}"
        self.port = free_port(self.ip)
        self.readiness_port = free_port(self.ip)
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["relay"]
        fields = {"Node": self.name, "Zone": "zone-a", "Ip": self.ip, "PortRange": [free_port(self.ip), 0],
                  "Listen": {"Front": f"{self.ip}:{self.port}", "ReadinessAddr": f"{self.ip}:{self.readiness_port}"},
                  "Bounds": BOUNDS, "Limits": dict(LIMITS, **limits), "Platform": {"Address": store_address}}
        self.settings = os.path.join(deployment.folder, f"{self.name}.conf")
        with open(self.settings, "w", encoding="ascii") as file:
            file.write(fill_in((ROOT / role["template"]).read_text(), fields))
        self.command = [word if word != "/etc/marigoldbeam/boot.conf" else self.settings for word in role["run"].split()]
        self.process = None

    async def start(self):
        program = ROOT / self.command[0]
        if not program.exists():
            raise CouldNotRun(f"{program} is not built")
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(program), *self.command[1:], stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.deployment.record(f"{self.name} started at {self.ip}:{self.port}, process {self.process.pid}")

    def signal(self, number):
        self.deployment.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.readiness_port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CouldNotRun(f"{self.name} ended with {self.process.returncode} at its start")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} was not ready within {limit} s")


class Deployment:
    """Processes and stand-ins of one case, with its record."""

    def __init__(self, case_folder):
        self.trouble_kind = os.environ.get("TROUBLE", "1")
        self.trouble = self.trouble_kind != "0"
        self.started_at = time.monotonic()
        self.file = open(os.path.join(case_folder, "record.txt"), "w", encoding="utf-8")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store = Store()
        self.relays = []
        self.record(f"TROUBLE={self.trouble_kind}")

    def record(self, text, is_printed=True):
        """Writes a line to the record and, unless it is one of many, to the standard output."""
        line = f"{time.monotonic() - self.started_at:9.3f} s  {text}"
        if is_printed:
            print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()

    def configure(self, config):
        self.store.put("op/config", json.dumps(config).encode())

    def register(self, server_id, service, address, **more):
        entry = {"Service": service, "Address": address, "Zone": "zone-a", "Version": "v1", "Slots": 16,
                 "State": "ready", "ColdRemainingMs": 0, "Seq": 1, "born": int(time.time() * 1000)}
        self.store.put(f"servers/{server_id}", json.dumps(dict(entry, **more)).encode())

    async def add_relay(self, number, store_address=None, **limits):
        relay = Relay(self, number, store_address or f"127.0.0.1:{self.store.port}", **limits)
        self.relays.append(relay)
        await relay.start()
        await relay.wait_until_ready()

    async def start_relays(self, count=1, **limits):
        for number in range(1, count + 1):
            await self.add_relay(number, **limits)

    async def end(self):
        for relay in self.relays:
            if relay.process and relay.process.returncode is None:
                relay.process.send_signal(signal.SIGCONT)
                relay.process.kill()
                await relay.process.wait()
        if os.environ.get("KEEP_LOGS"):
            os.system(f"cp -r {self.folder} {os.environ['KEEP_LOGS']}")
        self.temporary.cleanup()
        self.file.close()


def play(case_folder, scenario, limit=110):
    """Plays `scenario(deployment)`, which returns whether the rule was broken. Exits with 1 if it was, 0 if it held
    and 2 if the case could not be played."""

    async def main():
        deployment = Deployment(case_folder)
        try:
            await deployment.store.start()
            broken = await asyncio.wait_for(scenario(deployment), limit)
            deployment.record("the rule was BROKEN" if broken else "the rule held")
            return 1 if broken else 0
        except (CouldNotRun, asyncio.TimeoutError, OSError) as problem:
            deployment.record(f"could not run: {problem!r}")
            return 2
        finally:
            await deployment.end()

    sys.exit(asyncio.run(main()))
