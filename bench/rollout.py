# \brief a weight swap through the fleet under load: concurrent loads, remaining capacity, incomplete requests
"""Changes the wanted weight version of a model under load and observes the swap on the real daemons."""

import argparse
import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "support"))
from deployment import Deployment  # noqa: E402
from load import complete, make_prompt  # noqa: E402

SWAP_TIMEOUT_S = 150


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--long", action="store_true", help="use all engines of the shape instead of 6")
    parser.add_argument("--shape", choices=["bergvik", "kodakivi"], default="kodakivi")
    options = parser.parse_args()
    print(f"seed: {options.seed}")
    deployment = Deployment(options.shape, engines=None if options.long else 6, seed=options.seed)
    model = deployment.shape["model"]
    prompts = [make_prompt(options.seed + i, 3) for i in range(12)]
    answers, stop = [], threading.Event()

    def caller(worker):
        i = worker
        while not stop.is_set():
            port = deployment.ports[f"{deployment.entries[worker % 2]}-public"]
            answers.append(complete(port, deployment.headers("alpha"), model, prompts[i % len(prompts)], 6))
            i += 1

    with deployment:
        threads = [threading.Thread(target=caller, args=(worker,)) for worker in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(3)
        version = json.loads(deployment.admin("GET", "/admin/config")[2])["version"]
        status, _, body = deployment.admin("POST", "/admin/config/patch", {
            "base": version, "format": "json-patch", "patch": [{"op": "add", "path": f"/models/{model}/wanted_version", "value": "v2"}]})
        assert status == 200, body
        start, fewest, swapped, engines = time.time(), 10**6, 0, []
        while time.time() - start < SWAP_TIMEOUT_S and swapped < max(1, len(engines)):
            time.sleep(0.5)
            engines = [t for t in json.loads(deployment.admin("GET", "/admin/targets")[2])["targets"] if t["kind"] == "engine"]
            swapped = sum(target["version"] == "v2" for target in engines)
            fewest = min(fewest, sum(bool(target["load"].get("bound")) and target["state"] == "serving" for target in engines))
        seconds = time.time() - start
        time.sleep(1)
        stop.set()
        for thread in threads:
            thread.join()
        peak = deployment.counters("weights").get("peak_loads", 0)
        totals = {name: sum(deployment.counters(engine).get(name, 0) for engine in deployment.engine_models())
                  for name in ("corrupt_context", "stale_orders_obeyed", "cold_overloads")}
    incomplete = [answer for answer in answers if not answer.complete]
    floor = deployment.document["capacity_floor"] * len(engines)
    held = (not incomplete and peak <= deployment.shape["load_bound"] and fewest >= floor and swapped == len(engines) and not any(totals.values()))
    for answer in incomplete[:3]:
        print(f"  incomplete: {answer.error}")
    print(f"  {swapped} of {len(engines)} engines swapped in {seconds:.0f} s, at least {fewest} able to serve (floor {floor:.0f}), {peak} concurrent loads (bound {deployment.shape['load_bound']})")
    print(f"result: swapped={swapped} engines={len(engines)} swap_s={seconds:.0f} fewest_able={fewest} peak_loads={peak} requests={len(answers)} incomplete={len(incomplete)} "
          + " ".join(f"{name}={value}" for name, value in totals.items()))
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
