# \brief key-value calls per order, latency added by entry and agent, requests per second and core
"""Compares calls through entry and agent with direct calls to the stand-in, in one run."""

import argparse
import http.client
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "support"))
from deployment import HOST, Deployment, free_ports, request, uuid7  # noqa: E402
from load import complete, percentile, run_parallel  # noqa: E402
from process_cost import cpu_seconds  # noqa: E402

# The latency that entry and agent add to an interactive call must stay far below the 40 ms of a delayed TCP
# acknowledgement. The bound is a tenth of the 34 ms between tokens.
ADDED_P50_BOUND_MS = 3.4


def lookups(port, path, headers, count):
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    times = []
    for _ in range(count):
        start = time.perf_counter()
        connection.request("GET", path, headers=headers)
        response = connection.getresponse()
        response.read()
        times.append((time.perf_counter() - start) * 1000)
    connection.close()
    return times


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--long", action="store_true")
    options = parser.parse_args()
    print(f"seed: {options.seed}")
    scale = 4 if options.long else 1
    deployment = Deployment("kodakivi", engines=2, entries=1, seed=options.seed, engine={"warm_up_tokens": 0, "token_time_ms": 2}, agent={"token_time_ms": 2})
    with deployment:
        port = deployment.ports["entry-1-public"]
        entry = deployment.processes["entry-1"].popen.pid
        agents = [deployment.processes[name].popen.pid for name, target in deployment.document["targets"].items() if target["kind"] == "service"]
        engines = [deployment.processes[name].popen.pid for name, target in deployment.document["targets"].items() if target["kind"] == "engine"]
        headers = deployment.headers("alpha")
        plain = deployment.ports[deployment.plain_services()[0]]

        # Direct and routed calls alternate, so that both run under the same machine load.
        direct, routed = [], []
        for _ in range(4 * scale):
            direct += lookups(plain, "/orders/none", {}, 60)
            routed += lookups(port, "/services/bookings/orders/none", headers, 60)

        # CPU time per lookup, without the CPU time of an idle process.
        idle_start = [cpu_seconds(pid) for pid in [entry] + agents]
        time.sleep(2)
        idle = [(cpu_seconds(pid) - begin) / 2 for pid, begin in zip([entry] + agents, idle_start)]
        begin, begin_time = [cpu_seconds(pid) for pid in [entry] + agents], time.time()
        count = 400 * scale
        run_parallel([lambda: lookups(port, "/services/bookings/orders/none", headers, count) for _ in range(6)], 6)
        elapsed = time.time() - begin_time
        spent = [cpu_seconds(pid) - start - idle_rate * elapsed for pid, start, idle_rate in zip([entry] + agents, begin, idle)]
        calls = 6 * count
        entry_us = spent[0] / calls * 1e6
        agent_us = sum(spent[1:]) / calls * 1e6

        # Key-value calls per order, with several concurrent orders.
        orders = 150 * scale
        before = deployment.counters("kv")

        def order(i):
            status, _, _ = request(port, "POST", "/services/bookings/orders", {"order_id": f"cost-{i}"}, {**headers, "Idempotency-Key": uuid7()})
            return status

        begin_time = time.time()
        statuses = run_parallel([lambda i=i: order(i) for i in range(orders)], 8)
        order_seconds = time.time() - begin_time
        time.sleep(2)
        after = deployment.counters("kv")
        writes = (after["writes"] - before["writes"]) / orders
        reads = (after["reads"] - before["reads"]) / orders
        answered = sum(status == 201 for status in statuses)

        # CPU time per streamed token.
        begin = [cpu_seconds(pid) for pid in [entry] + engines]
        begin_time = time.time()
        tokens = 300 * scale
        answers = run_parallel([lambda i=i: complete(port, headers, "pairing", f"prompt {i}", tokens) for i in range(6)], 6)
        elapsed = time.time() - begin_time
        spent = [cpu_seconds(pid) - start - idle_rate * elapsed for pid, start, idle_rate in zip([entry] + engines, begin, [idle[0]] * 3)]
        streamed = sum(answer.usage.get("completion_tokens", 0) for answer in answers)
        token_us = [spent[0] / max(1, streamed) * 1e6, sum(spent[1:]) / max(1, streamed) * 1e6]
        twice = sum(deployment.counters(name).get("orders_run_twice", 0) for name in deployment.plain_services())

    added50 = percentile(routed, 0.5) - percentile(direct, 0.5)
    added99 = percentile(routed, 0.99) - percentile(direct, 0.99)
    print(f"  lookup, direct:              p50 {percentile(direct, 0.5):.2f} ms, p99 {percentile(direct, 0.99):.2f} ms")
    print(f"  lookup, via entry and agent: p50 {percentile(routed, 0.5):.2f} ms, p99 {percentile(routed, 0.99):.2f} ms")
    print(f"  orders: {answered} of {orders} answered, {orders / order_seconds:.0f} per second with 8 callers, {writes:.2f} key-value writes and {reads:.2f} reads each")
    held = answered == orders and twice == 0 and added50 < ADDED_P50_BOUND_MS and writes <= 2.5
    print(f"result: added_p50_ms={added50:.2f} added_p99_ms={added99:.2f} entry_us_per_call={entry_us:.0f} agent_us_per_call={agent_us:.0f} "
          f"entry_calls_per_core_s={1e6 / max(entry_us, 1):.0f} agent_calls_per_core_s={1e6 / max(agent_us, 1):.0f} "
          f"kv_writes_per_order={writes:.2f} kv_reads_per_order={reads:.2f} entry_us_per_token={token_us[0]:.1f} agent_us_per_token={token_us[1]:.1f} orders_run_twice={twice}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
