# \brief reproduces the figures of docs/CAPACITY.md: measures slopes here and extrapolates them to the target size
"""Runs the measurements behind the capacity page and extrapolates their slopes to the target size."""

import argparse
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]

ENTRIES = 370
TARGETS = 1200
REQUESTS_PER_SECOND = 3400
TOKENS_PER_SECOND = 1.4e6
PROMPTS = 340_000
BLOCKS_PER_PROMPT = 12
TEAMS = 2800
CHANGES_PER_DAY = 1300
ORDER_SHARE = 0.05  # Share of the requests; the page lists other shares as well.
KV_WRITES_PER_SECOND = 500
KV_READS_PER_SECOND = 2000
DOMAINS = 20
SECONDS_PER_DAY = 86400


def run(name, arguments, seed):
    print(f"running scripts/bench {name}", flush=True)
    outcome = subprocess.run([str(ROOT / "scripts" / "bench"), name, "--seed", str(seed), *arguments], capture_output=True, text=True, timeout=900)
    lines = [line for line in outcome.stdout.splitlines() if line.startswith("result:")]
    if not lines:
        print(outcome.stdout[-2000:], outcome.stderr[-2000:])
        raise SystemExit(f"{name} printed no result")
    values = {}
    for key, value in re.findall(r"(\S+)=(\S+)", lines[-1]):
        try:
            values[key] = float(value)
        except ValueError:
            values[key] = value
    print(f"  {lines[-1]}  (exit code {outcome.returncode})", flush=True)
    return values, outcome.returncode == 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--long", action="store_true")
    options = parser.parse_args()
    print(f"seed: {options.seed}")
    extra = ["--long"] if options.long else []
    results, held = {}, True
    for name in ("decision", "membership", "context", "claims", "cost", "control"):
        results[name], ok = run(name, extra if name in ("control", "cost") else [], options.seed)
        held = held and ok

    cost, control, context, decision = results["cost"], results["control"], results["context"], results["decision"]
    entry_requests = REQUESTS_PER_SECOND / ENTRIES
    entry_tokens = TOKENS_PER_SECOND / ENTRIES
    agent_tokens = TOKENS_PER_SECOND / TARGETS
    entry_core = (entry_requests * cost["entry_us_per_call"] + entry_tokens * cost["entry_us_per_token"]) / 1e4
    agent_core = (REQUESTS_PER_SECOND / TARGETS * cost["agent_us_per_call"] + agent_tokens * cost["agent_us_per_token"]) / 1e4
    orders = REQUESTS_PER_SECOND * ORDER_SHARE
    claim_writes = min(200, orders * cost["kv_writes_per_order"])
    config_writes = CHANGES_PER_DAY / SECONDS_PER_DAY
    store_mb = PROMPTS * BLOCKS_PER_PROMPT * (context["pool_bytes_per_block"] + context["policy_bytes_per_block"]) / 1e6

    print("\nextrapolated to the target size:")
    rows = [
        ("entry: requests and tokens per second", f"{entry_requests:.1f} requests/s, {entry_tokens:.0f} tokens/s"),
        ("entry: CPU core for requests and tokens", f"{entry_core:.1f} %"),
        ("entry: hints for all returning prompts", f"{context['hint_mb']:.1f} MB"),
        ("entry: one routing decision at 1,200 targets", f"{decision['p50_ns_1200'] / 1000:.1f} us p50, {decision['p99_ns_1200'] / 1000:.1f} us p99"),
        ("agent: tokens per second", f"{agent_tokens:.0f} tokens/s"),
        ("agent: CPU core for requests and tokens", f"{agent_core:.1f} %"),
        ("each process: control traffic", f"{control['bytes_per_s_at_target']:.0f} B/s (bound 3000)"),
        ("each process: control CPU", f"{control['cpu_percent_at_target']:.2f} % of a core (bound 1.6)"),
        ("each process: memory without hints and blocks", f"{control['memory_mb_at_target']:.1f} MB (bound 64)"),
        ("stores together: records of all cached blocks", f"{store_mb:.0f} MB"),
        ("key-value service: claim writes", f"{claim_writes:.0f}/s of {KV_WRITES_PER_SECOND}/s for {orders:.0f} orders/s; at most 200/s for one service"),
        ("key-value service: configuration writes", f"{config_writes:.3f}/s"),
        ("key-value service: waiting watches", f"{2 * DOMAINS} of {KV_READS_PER_SECOND} reads"),
    ]
    for label, value in rows:
        print(f"  {label:<52}{value}")
    fits = (control["bytes_per_s_at_target"] <= 3000 and control["cpu_percent_at_target"] <= 1.6 and control["memory_mb_at_target"] <= 64
            and decision["p50_ns_1200"] < 20_000)
    print(f"result: entry_core_percent={entry_core:.1f} agent_core_percent={agent_core:.1f} control_bytes_per_s={control['bytes_per_s_at_target']:.0f} "
          f"control_core_percent={control['cpu_percent_at_target']:.2f} control_memory_mb={control['memory_mb_at_target']:.1f} hint_mb={context['hint_mb']:.1f} "
          f"decision_p50_us={decision['p50_ns_1200'] / 1000:.1f} claim_writes_per_s={claim_writes:.0f} watches={2 * DOMAINS} fits={int(fits)} parts_held={int(held)}")
    return 0 if fits and held else 1


if __name__ == "__main__":
    sys.exit(main())
