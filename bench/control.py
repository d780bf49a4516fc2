# \brief control-plane cost per process at several fleet sizes, and time until a change is in force everywhere
"""Starts fleets of real processes, measures traffic, CPU and memory of the control plane and extrapolates to the target size."""

import argparse
import datetime
import json
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "support"))
from deployment import Deployment, request  # noqa: E402
from load import percentile  # noqa: E402
from process_cost import cpu_seconds, resident_bytes  # noqa: E402

TARGET_PROCESSES = 1570
TARGET_DOMAIN_PROCESSES = 79
BYTES_BOUND = 3000
CPU_BOUND = 1.6
MEMORY_BOUND_MB = 64
IN_FORCE_BOUND_S = 18


class fleet_of_stores(Deployment):
    """A fleet of stores: their agents need no target process, so that many fit on one machine."""

    def define_processes(self, engines, entries, engine, kv, entry, agent):
        self.shape = {**self.shape, "stores": engines, "services": 0}
        super().define_processes(0, entries, engine, kv, entry, {})


def fleet_processes(deployment):
    return [process for process in deployment.processes.values() if process.program != "marigold-standin"]


def traffic(deployment, name):
    dump = json.loads(deployment.admin("GET", f"/admin/dump?process=127.0.0.1:{deployment.ports[name]}")[2])
    membership = dump["sections"]["membership"]
    return membership["sent_bytes"] + membership["received_bytes"]


def in_force_times(deployment, version):
    """Returns when the version came into force according to each process log, in seconds since the epoch."""
    times = {}
    pattern = re.compile(rf"^(\S+) info MB-1203 \S+ process=\S+ version={version}$", re.M)
    for process in fleet_processes(deployment):
        found = pattern.search((deployment.folder / f"{process.name}.log").read_text())
        if found:
            moment = datetime.datetime.strptime(found.group(1), "%Y-%m-%dT%H:%M:%S.%fZ").replace(tzinfo=datetime.timezone.utc)
            times[process.name] = moment.timestamp()
    return times


def apply_change(deployment, weight):
    version = json.loads(deployment.admin("GET", "/admin/config")[2])["version"]
    status, _, body = deployment.admin("POST", "/admin/config/patch", {
        "base": version, "format": "merge-patch", "patch": {"teams": {"beta": {"weight": weight}}}})
    assert status == 200, body
    return json.loads(body)["version"], time.time()


def measure_propagation(deployment, weight):
    """Changes the configuration; returns the seconds until it was in force at each process, and the number of processes without it."""
    version, accepted = apply_change(deployment, weight)
    end = time.time() + IN_FORCE_BOUND_S + 2
    times = {}
    while time.time() < end and len(times) < len(fleet_processes(deployment)):
        time.sleep(0.2)
        times = in_force_times(deployment, version)
    missing = len(fleet_processes(deployment)) - len(times)
    return [max(0.0, moment - accepted) for moment in times.values()], missing


def measure(size, seed, seconds):
    deployment = fleet_of_stores("bergvik", engines=size - 2, entries=2, seed=seed)
    with deployment:
        time.sleep(4)
        processes = fleet_processes(deployment)
        sample = processes[:: max(1, len(processes) // 12)]
        cpu = {process.name: cpu_seconds(process.popen.pid) for process in processes}
        sent = {process.name: traffic(deployment, process.name) for process in sample}
        begin = time.time()
        time.sleep(seconds)
        elapsed = time.time() - begin
        rate = [(traffic(deployment, process.name) - sent[process.name]) / elapsed for process in sample]
        share = [100 * (cpu_seconds(process.popen.pid) - cpu[process.name]) / elapsed for process in processes]
        memory = [resident_bytes(process.popen.pid) / 1e6 for process in processes]
        times, missing = measure_propagation(deployment, 3)
        return {"bytes": rate, "cpu": share, "memory": memory, "times": times, "missing": missing,
                "kv": deployment.counters("kv")}


def measure_outage(seed):
    """Changes the configuration while the key-value service is slow and loses a reply, and restarts a process while the service does not respond."""
    deployment = fleet_of_stores("bergvik", engines=20, entries=2, seed=seed)
    with deployment:
        deployment.set_fault_rules("kv", [{"match": "/v1/kv/config", "kind": "lost_answer", "count": 1},
                                          {"match": "/v1", "kind": "delay", "delay_ms": 300}])
        times, missing = measure_propagation(deployment, 5)
        deployment.set_fault_rules("kv", [{"match": "/", "kind": "freeze"}])
        restarted = deployment.processes["store-3"]
        restarted.kill()
        restarted.start()
        version = json.loads(deployment.admin("GET", "/admin/config")[2])["version"]
        deployment.wait_for(lambda: json.loads(request(deployment.ports["entry-1-public"], "GET", "/readyz")[2] and deployment.admin("GET", "/admin/dump?process=store-3")[2])["sections"]["configuration"]["version"] == version,
                            IN_FORCE_BOUND_S, "a process started during the outage")
        return times, missing


def line_through(sizes, values):
    mean_x, mean_y = sum(sizes) / len(sizes), sum(values) / len(values)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values)) / sum((x - mean_x) ** 2 for x in sizes)
    return slope, mean_y - slope * mean_x


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--long", action="store_true")
    options = parser.parse_args()
    print(f"seed: {options.seed}")
    sizes = [25, 50, 100, 200] if options.long else [25, 50, 100]
    rows = []
    print("  processes   bytes/s mean/max   cpu % mean/max   memory MB max   in force p50/max s   waiting watches")
    for size in sizes:
        row = measure(size, options.seed, 10 if options.long else 5)
        rows.append(row)
        print(f"  {size:>9}   {sum(row['bytes']) / len(row['bytes']):>7.0f} / {max(row['bytes']):<7.0f}  {sum(row['cpu']) / len(row['cpu']):>5.2f} / {max(row['cpu']):<5.2f}   {max(row['memory']):>10.1f}   "
              f"{percentile(row['times'], 0.5):>9.2f} / {max(row['times'] or [float('nan')]):<8.2f} {row['kv'].get('peak_waiting_watches', 0):>8}", flush=True)
    outage_times, outage_missing = measure_outage(options.seed)
    # Cost grows with the size of the failure domain; each domain holds a third of the fleet here.
    domain_sizes = [size / 3 for size in sizes]
    bytes_slope, bytes_base = line_through(domain_sizes, [max(row["bytes"]) for row in rows])
    cpu_slope, cpu_base = line_through(domain_sizes, [sum(row["cpu"]) / len(row["cpu"]) for row in rows])
    memory_slope, memory_base = line_through(sizes, [max(row["memory"]) for row in rows])
    bytes_target = bytes_base + bytes_slope * TARGET_DOMAIN_PROCESSES
    cpu_target = cpu_base + cpu_slope * TARGET_DOMAIN_PROCESSES
    memory_target = memory_base + memory_slope * TARGET_PROCESSES
    longest = max(max(row["times"] or [99]) for row in rows)
    missing = sum(row["missing"] for row in rows) + outage_missing
    held = (bytes_target <= BYTES_BOUND and cpu_target <= CPU_BOUND and memory_target <= MEMORY_BOUND_MB
            and longest <= IN_FORCE_BOUND_S and missing == 0 and max(outage_times or [99]) <= IN_FORCE_BOUND_S)
    print(f"  extrapolated to the target size: {bytes_target:.0f} B/s (bound {BYTES_BOUND}), {cpu_target:.2f} % of a core (bound {CPU_BOUND}), {memory_target:.1f} MB (bound {MEMORY_BOUND_MB})")
    print(f"  with a slow key-value service that lost a reply: in force after {max(outage_times or [float('nan')]):.2f} s; a process started during an outage received the version from a peer")
    print(f"result: bytes_per_s_at_target={bytes_target:.0f} cpu_percent_at_target={cpu_target:.2f} memory_mb_at_target={memory_target:.1f} "
          f"in_force_max_s={longest:.2f} in_force_degraded_max_s={max(outage_times or [99]):.2f} processes_missing={missing} "
          f"bytes_per_s_slope={bytes_slope:.1f} cpu_percent_slope={cpu_slope:.4f} memory_kb_slope={memory_slope * 1000:.1f}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
