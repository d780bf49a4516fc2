"""Implementation of scripts/demo."""

import argparse
import json
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from deployment import Deployment, request, uuid7  # noqa: E402
from load import complete, expected_text, make_prompt, percentile, run_parallel  # noqa: E402

BLOCKS = 8
MAX_TOKENS = 8


class Demo:
    def __init__(self, shape, prompts, seed):
        self.shape = shape
        self.seed = seed
        self.prompts = [make_prompt(seed * 1000 + i, BLOCKS) for i in range(prompts)]
        # The caches of all engines together hold fewer blocks than the prompts have, so that the context of a
        # returning prompt is cached only at a store.
        self.deployment = Deployment(shape, engines=6, seed=seed, engine={"cache_blocks": 24})
        self.violations = []
        self.expected = {}

    def send(self, index, entry=0):
        deployment = self.deployment
        port = deployment.ports[f"{deployment.entries[entry % len(deployment.entries)]}-public"]
        team = ("alpha", "beta")[index % 2]
        return complete(port, deployment.headers(team), deployment.shape["model"], self.prompts[index], MAX_TOKENS)

    def check(self, index, answer):
        """Returns whether the answer is complete and has the expected text."""
        if index not in self.expected:
            self.expected[index] = expected_text(self.deployment.ports["reference"], self.deployment.shape["model"], self.prompts[index], MAX_TOKENS)
        return answer.complete and answer.text == self.expected[index]

    def send_all(self, name):
        answers = run_parallel([lambda i=i: self.send(i, i) for i in range(len(self.prompts))], 6)
        wrong = sum(not self.check(i, answer) for i, answer in enumerate(answers))
        prompt = sum(a.usage.get("prompt_tokens", 0) for a in answers)
        cached = sum(a.usage.get("prompt_tokens_details", {}).get("cached_tokens", 0) for a in answers)
        first = [a.first_token_seconds * 1000 for a in answers if a.first_token_seconds]
        recomputed = 100 * (1 - cached / prompt) if prompt else float("nan")
        self.print_row(name, len(answers), wrong, f"{recomputed:.0f} %", percentile(first, 0.5), percentile(first, 0.95))
        if wrong:
            self.violations.append(f"{name}: {wrong} wrong or incomplete answers: {[a.error for a in answers if a.error][:2]}")
        return recomputed

    @staticmethod
    def print_row(name, requests, wrong, recomputed, p50, p95):
        print(f"  {name:<34}{requests:>9}{wrong:>14}{recomputed:>13}{p50:>12.0f}{p95:>12.0f}", flush=True)

    def patch_configuration(self):
        version = json.loads(self.deployment.admin("GET", "/admin/config")[2])["version"]
        status, _, body = self.deployment.admin("POST", "/admin/config/patch", {
            "base": version, "format": "merge-patch", "patch": {"teams": {"beta": {"weight": 2}}}})
        answer = json.loads(body)
        if status != 200 or answer.get("outcome") != "accepted":
            self.violations.append(f"configuration patch refused: {body!r}")
            return
        start = time.time()
        self.deployment.wait_for(lambda: not json.loads(self.deployment.admin("GET", f"/admin/config/in_force?version={answer['version']}")[2])["behind"], 18, "the configuration")
        print(f"  configuration patch accepted as version {answer['version']}, seen in force everywhere after {time.time() - start:.2f} s")

    def send_order_twice(self):
        deployment = self.deployment
        service = deployment.shape["service"]
        key = uuid7()
        answers = [request(deployment.ports[f"{name}-public"], "POST", f"/services/{service}/orders", {"order_id": "order-1"},
                           deployment.headers("alpha", Idempotency_Key=key)) for name in deployment.entries]
        runs = sum(deployment.counters(name).get("orders_run", 0) for name in deployment.plain_services())
        twice = sum(deployment.counters(name).get("orders_run_twice", 0) for name in deployment.plain_services())
        same = len({body for _, _, body in answers}) == 1
        print(f"  one order sent through both entries with the same key: statuses {[status for status, _, _ in answers]}, runs {runs}, identical answers {same}")
        if runs != 1 or twice or not same:
            self.violations.append(f"the order ran {runs} times instead of once, answers {answers}")

    def set_domain_in_service(self, name, in_service):
        deployment = self.deployment
        version = json.loads(deployment.admin("GET", "/admin/config")[2])["version"]
        status, _, body = deployment.admin("POST", f"/admin/domains/{name}", {"in_service": in_service, "base": version})
        if status != 200:
            self.violations.append(f"failure domain {name} not changed: {body!r}")

    def cycle_domain(self):
        """Takes a failure domain out of service and back under load; counts runs started there more than 2 s later."""
        deployment = self.deployment
        domain = deployment.shape["domains"][1]
        domain_engines = [f"{name}-model" for name, target in deployment.document["targets"].items()
                          if target["failure_domain"] == domain and target["kind"] == "engine"]
        stop = threading.Event()
        answers = []

        def caller(worker):
            i = worker
            while not stop.is_set():
                index = i % len(self.prompts)
                answers.append((index, self.send(index, worker)))
                i += 5

        threads = [threading.Thread(target=caller, args=(w,)) for w in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        self.set_domain_in_service(domain, False)
        time.sleep(2)
        before = sum(deployment.counters(name).get("runs_started", 0) for name in domain_engines)
        time.sleep(3)
        late = sum(deployment.counters(name).get("runs_started", 0) for name in domain_engines) - before
        self.set_domain_in_service(domain, True)
        time.sleep(3)
        stop.set()
        for thread in threads:
            thread.join()
        wrong = sum(not self.check(i, a) for i, a in answers)
        first = [a.first_token_seconds * 1000 for _, a in answers if a.first_token_seconds]
        self.print_row("failure domain out and back", len(answers), wrong, "", percentile(first, 0.5), percentile(first, 0.95))
        print(f"  runs started in {domain} more than 2 s after it was taken out of service: {late}")
        if wrong or late:
            self.violations.append(f"failure domain out and back: {wrong} wrong or incomplete answers, {late} runs started there after 2 s; {[a.error for _, a in answers if a.error][:2]}")

    def check_counters(self):
        deployment = self.deployment
        corrupt = sum(deployment.counters(name).get("corrupt_context", 0) for name in deployment.engine_models())
        overloads = sum(deployment.counters(name).get("cold_overloads", 0) for name in deployment.engine_models())
        twice = sum(deployment.counters(name).get("orders_run_twice", 0) for name in deployment.plain_services())
        print(f"  orders run twice {twice}, runs on foreign context {corrupt}, cold engines overloaded {overloads}")
        if corrupt or overloads or twice:
            self.violations.append(f"orders twice {twice}, foreign context {corrupt}, cold overloads {overloads}")

    def run(self):
        deployment = self.deployment
        reference = __import__("deployment").free_ports(1)[0]
        deployment.add_standin("reference", "engine", reference, {"engine": {"model": deployment.shape["model"], "token_time_ms": 1, "prefill_bytes_per_second": 1e9, "warm_up_tokens": 0}})
        print(f"{self.shape}: {len(deployment.shape['domains'])} failure domains, 6 engines, {deployment.shape['services']} services, {deployment.shape['stores']} stores, 2 entries; seed {self.seed}")
        with deployment:
            self.patch_configuration()
            print(f"  {'':<34}{'requests':>9}{'wrong or cut':>14}{'recomputed':>13}{'p50 ms':>12}{'p95 ms':>12}")
            first = self.send_all("first visit")
            time.sleep(1.5)
            back = self.send_all("return after cache eviction")
            if not back < first / 2:
                self.violations.append(f"returning prompts recomputed {back:.0f} % of their context, {first:.0f} % at the first visit")
            self.send_order_twice()
            self.cycle_domain()
            self.check_counters()


def serve(shape, seed):
    """Starts a deployment and keeps it running until interrupted, for manual use."""
    deployment = Deployment(shape, engines=6, seed=seed)
    with deployment:
        print("# the deployment runs until this command is interrupted; in another shell:")
        print(f"export PATH={deployment.binary_folder()}:$PATH")
        print(f"export MARIGOLD_OPERATOR_KEY={deployment.operator_key}")
        print(f"export TEAM_KEY={deployment.team_keys['alpha']}")
        for name in deployment.entries:
            print(f"export {name.replace('-', '_').upper()}=http://127.0.0.1:{deployment.ports[f'{name}-public']}")
        sys.stdout.flush()
        stopped = threading.Event()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(signal_number, lambda *_: stopped.set())
        stopped.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--prompts", type=int, default=36)
    parser.add_argument("--shape", choices=["bergvik", "kodakivi"])
    parser.add_argument("--serve", action="store_true", help="start a deployment and keep it running")
    options = parser.parse_args()
    if options.serve:
        serve(options.shape or "bergvik", options.seed)
        return 0
    broken = []
    for shape in [options.shape] if options.shape else ["bergvik", "kodakivi"]:
        demo = Demo(shape, options.prompts, options.seed)
        demo.run()
        broken += demo.violations
        print()
    for line in broken:
        print(f"promise broken: {line}")
    print("all promises held" if not broken else f"{len(broken)} promises broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
