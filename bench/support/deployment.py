"""Starts a small deployment on loopback: stand-ins, agents and entries as separate processes, each with its own TOML file.

Used by scripts/demo and by the measurements that drive the daemons. Stops every process that it started.
"""

import hashlib
import hmac
import http.client
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import uuid
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BUILD = Path(os.environ.get("MARIGOLD_BUILD", ROOT / "build"))
HOST = "127.0.0.1"

SHAPES = {
    # Fleets of the current users. Callers may scale the number of engines; stores and services are fixed.
    "bergvik": {
        "region": "region-nord",
        "domains": ["hall-tromso", "hall-bodo", "hall-alta"],
        "model": "transcribe",
        "policy": "share_recomputed",
        "service": "orders",
        "services": 3,
        "stores": 2,
        "engines": 20,
        "load_bound": 3,
    },
    "kodakivi": {
        "region": "ee-north",
        "domains": ["tallinn-a", "tallinn-b", "tartu-a", "parnu-a"],
        "model": "pairing",
        "policy": "first_token",
        "service": "bookings",
        "services": 4,
        "stores": 2,
        "engines": 12,
        "load_bound": 2,
    },
}


def uuid7(now=None):
    """Returns a UUIDv7 (RFC 9562), the format of idempotency keys."""
    milliseconds = int((time.time() if now is None else now) * 1000)
    value = (milliseconds << 80) | (7 << 76) | (secrets.randbits(12) << 64) | (2 << 62) | secrets.randbits(62)
    return str(uuid.UUID(int=value))


def make_key(prefix, name):
    """Returns a random key and its salted record for the configuration."""
    secret = secrets.token_hex(32)
    salt = secrets.token_hex(16)
    digest = hmac.new(salt.encode(), secret.encode(), hashlib.sha256).hexdigest()
    return f"{prefix}_{name}_{secret}", f"v1:{salt}:{digest}"


def free_ports(count):
    """Returns ports that are currently free for both TCP and UDP.

    They lie below the kernel's range of ephemeral ports, since an outgoing connection could otherwise occupy the port
    of a process that is restarted.
    """
    found = set()
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        found.add(port)
    return list(found)


def request(port, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request; returns status, headers and body. Raises OSError or HTTPException if the connection fails."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, (bytes, str)) else json.dumps(body)
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def to_toml(sections):
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        for key, value in values.items():
            lines.append(f"{key} = {json.dumps(value)}")
        lines.append("")
    return "\n".join(lines)


class Process:
    """One process of the deployment."""

    def __init__(self, name, program, config, folder):
        self.name = name
        self.program = program
        self.config = config
        self.folder = folder
        self.popen = None

    def start(self):
        path = self.folder / f"{self.name}.toml"
        path.write_text(to_toml(self.config))
        log = open(self.folder / f"{self.name}.log", "ab")
        self.popen = subprocess.Popen([str(BUILD / "src" / self.program), "--config", str(path)], stdout=log, stderr=log)
        log.close()

    def signal(self, signal_number):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    def wait(self, timeout=30):
        return self.popen.wait(timeout)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.popen:
            self.popen.wait(10)

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None


class Deployment:
    def __init__(self, shape, engines=None, entries=2, seed=1, teams=("alpha", "beta"), engine=None, kv=None, entry=None, agent=None):
        self.shape = SHAPES[shape]
        self.seed = seed
        self.folder = Path(tempfile.mkdtemp(prefix="marigold-"))
        self.processes = {}
        self.ports = {}
        self.message_key = "k1:" + secrets.token_hex(32)
        self.operator_key, operator_record = make_key("mbop", "root")
        self.team_keys = {}
        self.document = {
            "teams": {},
            "models": {self.shape["model"]: {"version": "v1", "policy": self.shape["policy"]}},
            "services": {self.shape["service"]: {"idempotent": ["GET"]}},
            "failure_domains": {name: {"in_service": True} for name in self.shape["domains"]},
            "targets": {},
            "operators": {"root": {"key_records": [operator_record], "rights": ["read", "change", "dangerous"]}},
            "weight_stores": {"weights": {"concurrent_loads": self.shape["load_bound"]}},
            "capacity_floor": 0.5,
        }
        for name in teams:
            self.team_keys[name], record = make_key("mb", name)
            self.document["teams"][name] = {"key_records": [record], "block_secret": secrets.token_hex(32)}
        self.define_processes(engines or self.shape["engines"], entries, engine or {}, kv or {}, entry or {}, agent or {})

    # -- layout ---------------------------------------------------------------------------------------------

    def define_processes(self, engines, entries, engine, kv, entry, agent):
        services = self.shape["services"]
        stores = self.shape["stores"]
        ports = iter(free_ports(3 + engines * 2 + services * 2 + stores + entries * 2))
        self.add_standin("kv", "kv", next(ports), {"kv_service": kv})
        self.add_standin("weights", "weights", next(ports), {"weights": {"bound": self.shape["load_bound"]}})
        self.add_standin("vmlist", "vmlist", next(ports), {})
        self.entries = [f"entry-{i + 1}" for i in range(entries)]
        domains = self.shape["domains"]
        fleet = {name: (next(ports), domains[i % len(domains)]) for i, name in enumerate(self.entries)}
        seeds = [f"{HOST}:{port}" for port, _ in fleet.values()]
        for i in range(engines):
            name = f"engine-{i + 1}"
            target = next(ports)
            self.add_standin(f"{name}-model", "engine", target, {"engine": {
                "model": self.shape["model"],
                "weight_store": f"http://{HOST}:{self.ports['weights']}",
                "checks_fencing": i % 2 == 0,
                "warm_up_tokens": 60,
                **engine,
            }})
            self.add_agent(name, next(ports), domains[i % len(domains)], "engine", seeds,
                       {"target": f"http://{HOST}:{target}", "weight_store": "weights", **agent}, {"model": self.shape["model"]})
        for i in range(services):
            name = f"{self.shape['service']}-{i + 1}"
            target = next(ports)
            self.add_standin(f"{name}-plain", "service", target, {})
            self.add_agent(name, next(ports), domains[i % len(domains)], "service", seeds,
                       {"target": f"http://{HOST}:{target}", "slots": 32, "first_slots": 8}, {"service": self.shape["service"]})
        for i in range(stores):
            self.add_agent(f"store-{i + 1}", next(ports), domains[i % len(domains)], "store", seeds, {}, {})
        for name, (port, domain) in fleet.items():
            public = next(ports)
            self.ports[f"{name}-public"] = public
            self.add_process(name, "marigold-entry", {**self.common_config(name, port, domain, seeds), "entry": {"public_port": public, "first_config_file": str(self.folder / "first.json"), **entry}})

    def add_process(self, name, program, config):
        self.processes[name] = Process(name, program, config, self.folder)

    def add_standin(self, name, role, port, extra):
        self.ports[name] = port
        self.add_process(name, "marigold-standin", {"standin": {"role": role, "listen_port": port, "seed": self.seed}, **extra})

    def common_config(self, name, port, domain, seeds):
        self.ports[name] = port
        return {
            "process": {"id": name, "failure_domain": domain, "region": self.shape["region"], "listen_port": port},
            "cluster": {"seed_peers": [seed for seed in seeds if seed != f"{HOST}:{port}"], "message_key": self.message_key,
                        "vm_list": f"http://{HOST}:{self.ports['vmlist']}"},
            "kv": {"endpoint": f"http://{HOST}:{self.ports['kv']}", "call_timeout_ms": 1000},
        }

    def add_agent(self, name, port, domain, kind, seeds, settings, target):
        self.add_process(name, "marigold-agent", {**self.common_config(name, port, domain, seeds), "agent": {"kind": kind, **settings}})
        self.document["targets"][name] = {
            "address": f"{HOST}:{port}", "failure_domain": domain, "region": self.shape["region"], "kind": kind, **target}

    # -- start and stop -------------------------------------------------------------------------------------

    def start(self):
        self.processes["kv"].start()
        self.wait_for(lambda: request(self.ports["kv"], "GET", "/standin/counters")[0] == 200, 10, "the key-value stand-in")
        (self.folder / "first.json").write_text(json.dumps(self.document))
        for name, process in self.processes.items():
            if name != "kv":
                process.start()
        self.wait_for(self.is_ready, 40, "the deployment")

    def is_ready(self):
        for name in self.entries:
            if request(self.ports[f"{name}-public"], "GET", "/readyz")[0] != 200:
                return False
            status, _, body = self.admin("GET", "/admin/targets", entry=name)
            targets = json.loads(body)["targets"] if status == 200 else []
            if len(targets) != len(self.document["targets"]):
                return False
            for target in targets:
                if target["state"] != "serving" or (target["kind"] == "engine" and not target["load"].get("bound")):
                    return False
        return True

    @staticmethod
    def wait_for(check, seconds, what):
        end = time.time() + seconds
        while time.time() < end:
            try:
                if check():
                    return
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{what} was not ready within {seconds} s")

    def stop(self):
        for process in self.processes.values():
            process.kill()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    # -- requests -------------------------------------------------------------------------------------------

    def admin(self, method, path, body=None, entry=None):
        port = self.ports[f"{entry or self.entries[0]}-public"]
        return request(port, method, path, body, {"Authorization": f"Bearer {self.operator_key}"})

    def headers(self, team, **extra):
        return {"Authorization": f"Bearer {self.team_keys[team]}", "Content-Type": "application/json",
                **{name.replace("_", "-"): value for name, value in extra.items()}}

    def counters(self, name):
        return json.loads(request(self.ports[name], "GET", "/standin/counters")[2])

    def set_fault_rules(self, name, rules):
        assert request(self.ports[name], "POST", "/standin/faults", rules)[0] == 200

    @staticmethod
    def binary_folder():
        return BUILD / "src"

    def engine_models(self):
        return [name for name in self.processes if name.endswith("-model")]

    def plain_services(self):
        return [name for name in self.processes if name.endswith("-plain")]
