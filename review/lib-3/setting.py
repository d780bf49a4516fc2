"""Starts the project's relay with the command and the settings template of the deploy file, on loopback addresses."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "platform", "soak"))

# The figures of the settings in DEPLOY.md and of the sheet of Kodakivi Event Booking.
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
          "GraceS": 8, "LossSlackMs": 200, "ConfigMs": 2000, "BackMs": 250, "MaxSkewMs": 5000, "StrictRevoke": False,
          "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 56, "ColdFactor": 1.5,
          "ColdSlack": 5, "EvacuateMs": 5000, "RecoveryS": 12, "TransitMs": 120, "ReuseWindowS": 20,
          "FencingEnforced": True, "LeaseMs": 3000, "ThawMs": 300, "VersionMs": 6000, "VersionAllMs": 8400}
LIMITS = {"CpuShare": 0.19, "Cores": 1, "MemoryMb": 110, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}

given_ports = set()


def free_port():
    """Returns a port that no socket has, below those that the system gives to outgoing connections."""
    while True:
        port = 10_000 + int.from_bytes(os.urandom(2), "big") % 22_000
        if port in given_ports:
            continue
        given_ports.add(port)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def lookup(fields, name):
    value = fields
    for word in name.split("."):
        if isinstance(value, list):
            value = value[int(word)] if int(word) < len(value) else None
        else:
            value = value.get(word) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(template, fields):
    """Fills in the placeholders and sections that DEPLOY.md describes, as far as the template uses them."""

    def section(match):
        return match.group(2) if lookup(fields, match.group(1)) not in (None, False) else ""

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = lookup(fields, name)
        if form == "json":
            return json.dumps(found)
        if found is None:
            return ""
        return str(found).lower() if isinstance(found, bool) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", value, text)


class Machine:
    """A machine of the class `front` with one relay process."""

    def __init__(self, name, zone, store_address, folder, limits=None, bounds=None):
        self.name = name
        self.folder = folder
        self.limits = dict(LIMITS, **(limits or {}))
        self.callers, self.readiness, self.peers = free_port(), free_port(), free_port()
        self.process = None
        self.started_at = 0.0
        self.ends = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["relay"]
        fields = {"Node": name, "Zone": zone, "Region": "region", "Ip": "127.0.0.1",
                  "Listen": {"Front": f"127.0.0.1:{self.callers}", "ReadinessAddr": f"127.0.0.1:{self.readiness}"},
                  "PortRange": [self.peers, self.peers + 15], "Limits": self.limits,
                  "Bounds": dict(BOUNDS, **(bounds or {})), "Platform": {"Address": store_address}}
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        # All machines have one address here, so that the fixed port of the metrics has to differ.
        text = re.sub(r'(metrics_address = "127.0.0.1:)\d+', lambda m: f"{m.group(1)}{free_port()}", text)
        self.settings = os.path.join(folder, f"{name}.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        command = [self.settings if word == "/etc/marigoldbeam/boot.conf" else word for word in self.role["run"].split()]
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.started_at = time.monotonic()

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def resident_mb(self):
        """Returns the memory of the process that is resident, in MB."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        except (OSError, IndexError):
            return 0.0

    def end(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()
