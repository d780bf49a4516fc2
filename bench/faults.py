# \brief faults injected into the real daemons: crash, pause, reset, delay, duplicate, lost answer at six points
"""Injects faults into a deployment, alone and in pairs, and counts violations.

Violations are: an order that ran twice, a `not_run` for an order that ran, a stream that ended without its complete
text or an explicit error, a request without an outcome, an order that was answered but never ran, and corrupt
context. Whether an order ran is taken from the executions counted by the stand-ins.
"""

import argparse
import http.client
import json
import random
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "support"))
from deployment import Deployment, free_ports, request, uuid7  # noqa: E402
from load import complete, expected_text, make_prompt, run_parallel  # noqa: E402

PLACES = ["before_send", "after_send", "mid_answer", "after_answer", "during_claim", "during_shutdown"]
FAULTS = ["crash", "pause", "reset", "delay", "duplicate", "lost_answer"]
STREAMS = 4
ORDERS = 6
MAX_TOKENS = 20
PAUSE_SECONDS = 1.2


class Tally:
    def __init__(self):
        self.lock = threading.Lock()
        self.requests = 0
        self.succeeded = 0
        self.without_outcome = []
        self.cut_or_mixed = []
        self.not_run = {}  # order id -> cases
        self.history = {}  # order id -> replies to its calls
        self.orders = {}  # order id -> case in which it was answered successfully
        self.may_have_run_orders = set()  # orders for which a caller received may_have_run

    def add(self, succeeded):
        with self.lock:
            self.requests += 1
            self.succeeded += succeeded


class Bench:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.deployment = Deployment("bergvik", engines=4, entries=2, seed=seed, engine={"warm_up_tokens": 0, "cold_bound": 8},
                                     agent={"first_slots": 8})
        self.deployment.add_standin("reference", "engine", free_ports(1)[0], {"engine": {
            "model": "transcribe", "token_time_ms": 1, "prefill_bytes_per_second": 1e9, "warm_up_tokens": 0}})
        self.tally = Tally()
        self.serial = 0
        self.prompts = [make_prompt(seed * 100 + i, 2) for i in range(STREAMS)]
        self.expected = []
        self.case = ""

    # -- callers --------------------------------------------------------------------------------------------

    def public_port(self, index):
        entries = self.deployment.entries
        return self.deployment.ports[f"{entries[index % len(entries)]}-public"]

    def stream(self, index):
        """Requests one streamed completion; continues through the other entry if the connection fails."""
        headers = self.deployment.headers("alpha", X_Deadline_Ms="15000")
        text, event_id, outcome = "", None, None
        for attempt in range(6):
            answer = complete(self.public_port(index + attempt), headers, "transcribe", self.prompts[index], MAX_TOKENS, event_id, timeout=12)
            text += answer.text
            event_id = answer.event_id or event_id
            if answer.complete:
                outcome = "complete"
                break
            if answer.error and answer.error.get("verdict"):
                outcome = "error"
                # Retries a refused request from the start, as a caller would.
                if answer.error["verdict"] == "not_run" and not text:
                    time.sleep(0.3)
                    continue
                break
            if answer.status == 200 and answer.error is None:
                outcome = "cut"
            time.sleep(0.2)
        correct = outcome == "complete" and text == self.expected[index]
        if outcome == "complete" and not correct:
            self.tally.cut_or_mixed.append((self.case, "wrong text", text[-40:]))
        if outcome in (None, "cut"):
            self.tally.without_outcome.append((self.case, "stream", answer.error))
        self.tally.add(correct)

    def order(self, index, twice=False):
        """Sends one order; repeats it with the same key after a failed connection or a `not_run`."""
        with self.tally.lock:
            self.serial += 1
            order_id = f"order-{self.serial}"
        key = uuid7()
        if twice:
            threads = [threading.Thread(target=self.send_order, args=(index + i, order_id, key)) for i in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        else:
            self.send_order(index, order_id, key)

    def send_order(self, index, order_id, key):
        headers = self.deployment.headers("beta", Idempotency_Key=key, X_Deadline_Ms="4000")
        verdict = None
        for attempt in range(4):
            try:
                status, _, body = request(self.public_port(index + attempt), "POST", "/services/orders/orders", {"order_id": order_id}, headers, timeout=8)
            except (OSError, http.client.HTTPException) as problem:
                self.tally.history.setdefault(order_id, []).append(f"connection lost ({type(problem).__name__})")
                time.sleep(0.2)
                continue
            self.tally.history.setdefault(order_id, []).append(f"{status} {body[:200].decode(errors='replace')}")
            if status < 300:
                verdict = "answered"
                break
            try:
                error = json.loads(body)["error"]
                verdict = error["verdict"]
                # The first call with this key is still running; a retry returns its answer.
                if verdict == "may_have_run" and error["reason"] == "conflict":
                    time.sleep(0.3)
                    continue
            except (ValueError, KeyError):
                verdict = None
                break
            if verdict != "not_run":
                break
            time.sleep(0.3)
        with self.tally.lock:
            if verdict is None:
                self.tally.without_outcome.append((self.case, "order", order_id))
            if verdict == "not_run":
                self.tally.not_run.setdefault(order_id, []).append(self.case)
            if verdict == "may_have_run":
                self.tally.may_have_run_orders.add(order_id)
            if verdict == "answered":
                self.tally.orders[order_id] = self.case
        self.tally.add(verdict == "answered")

    # -- faults ---------------------------------------------------------------------------------------------

    def random_agent(self, kind):
        names = [name for name, target in self.deployment.document["targets"].items() if target["kind"] == kind]
        return self.deployment.processes[self.random.choice(names)]

    def pause(self, process):
        process.signal(signal.SIGSTOP)
        threading.Timer(PAUSE_SECONDS, process.signal, (signal.SIGCONT,)).start()

    def add_fault_rules(self, names, kind, **extra):
        for name in names:
            try:
                self.deployment.set_fault_rules(name, [{"kind": kind, "count": 2, **extra}])
            except OSError:
                pass  # The other fault of a pair has stopped this stand-in.

    def schedule(self, delay, function, *args):
        threading.Timer(delay, function, args).start()

    def inject(self, place, fault):
        """Injects one fault; returns whether callers send each order twice."""
        d = self.deployment
        models, services = d.engine_models(), d.plain_services()
        delays = {"before_send": 0, "after_send": 0.03, "mid_answer": 0.15, "after_answer": 0.6, "during_claim": 0.01, "during_shutdown": 0.1}
        fault_delay = delays[place]
        if place == "during_shutdown":
            for kind in ("engine", "service"):
                process = self.random_agent(kind)
                self.schedule(0.05, process.signal, signal.SIGTERM)
                if fault == "crash":
                    self.schedule(0.15, process.signal, signal.SIGKILL)
                if fault == "pause":
                    self.schedule(0.1, self.pause, process)
        elif fault == "crash":
            processes_to_kill = [self.random_agent("service")] if place == "during_claim" else [self.random_agent("engine"), self.random_agent("service")]
            if place == "mid_answer":
                processes_to_kill.append(d.processes[self.random.choice(d.entries)])
            for process in processes_to_kill:
                self.schedule(fault_delay, process.signal, signal.SIGKILL)
            if place == "after_send":
                self.schedule(fault_delay, d.processes[self.random.choice(models)].signal, signal.SIGKILL)
        elif fault == "pause":
            for kind in ("engine", "service"):
                self.schedule(fault_delay, self.pause, self.random_agent(kind))
        if place == "during_claim" and fault in ("crash", "pause", "delay"):
            d.set_fault_rules("kv", [{"match": "/v1/kv/claims", "kind": "delay", "delay_ms": 300, "count": 20}])
        if fault == "reset":
            if place == "during_claim":
                d.set_fault_rules("kv", [{"match": "/v1/kv/claims", "kind": "lost_request", "count": 4}])
            elif place == "mid_answer":
                self.add_fault_rules(models, "cut_answer", match="/", after=3)
            else:
                self.add_fault_rules(models + services, "lost_request" if place == "before_send" else "lost_answer", match="/")
        if fault == "delay" and place != "during_claim":
            self.add_fault_rules(services, "delay", match="/orders", delay_ms=400)
            self.add_fault_rules(models, "delay", match="/engine/state", delay_ms=400)
        if fault == "lost_answer":
            if place in ("during_claim", "after_answer", "during_shutdown"):
                d.set_fault_rules("kv", [{"match": "/v1/kv/claims", "kind": "lost_answer", "count": 4}])
            else:
                self.add_fault_rules(services, "lost_answer", match="/orders")
                self.add_fault_rules(models, "cut_answer", match="/", after=0 if place == "before_send" else 5)
        return fault == "duplicate"

    def recover(self):
        d = self.deployment
        for name in ["kv"] + d.engine_models() + d.plain_services():
            if d.processes[name].is_running():
                request(d.ports[name], "DELETE", "/standin/faults")
        for process in d.processes.values():
            process.signal(signal.SIGCONT)
        try:
            d.wait_for(self.has_recovered, 60, f"the deployment after {self.case}")
        except RuntimeError:
            for name in d.entries:
                for target in json.loads(d.admin("GET", "/admin/targets", entry=name)[2])["targets"]:
                    print(f"  {name} sees {target['id']} as {target['state']}, load {target['load']}")
            print(f"  logs are in {d.folder}")
            raise

    def has_recovered(self):
        d = self.deployment
        # Processes are restarted in each check, since one that was still shutting down may exit at any moment.
        for process in d.processes.values():
            if not process.is_running():
                process.start()
        for name in d.entries:
            targets = json.loads(d.admin("GET", "/admin/targets", entry=name)[2])["targets"]
            usable = {}
            for target in targets:
                if target["state"] == "serving" and target["load"].get("bound"):
                    usable[target["kind"]] = usable.get(target["kind"], 0) + 1
            if usable.get("engine", 0) < 3 or usable.get("service", 0) < 2:
                return False
        return True

    # -- cases ----------------------------------------------------------------------------------------------

    def run_case(self, faults):
        self.case = " + ".join(f"{place}/{fault}" for place, fault in faults)
        twice = any([self.inject(place, fault) for place, fault in faults])
        repeat = any(place == "after_answer" for place, _ in faults)
        jobs = [lambda i=i: self.stream(i) for i in range(STREAMS)]
        jobs += [lambda i=i: self.order(i, twice) for i in range(ORDERS)]
        run_parallel(jobs, len(jobs))
        if repeat:
            run_parallel([lambda i=i: self.order(i, True) for i in range(2)], 2)
        self.recover()

    def rolling_replacement(self):
        """Stops every agent and entry gracefully and restarts it, one by one under load; returns the number of failed requests plus processes with a nonzero exit code."""
        self.case = "rolling replacement"
        d = self.deployment
        before = (self.tally.requests, self.tally.succeeded)
        stop = threading.Event()

        def caller(index):
            while not stop.is_set():
                self.stream(index % STREAMS)
                self.order(index)

        # A process that the last case stopped may have been restarted a few milliseconds ago. A SIGTERM before it has
        # installed its handler ends it with -15 (seed 86, engine-1).
        d.wait_for(self.is_fully_serving, 60, "the deployment before the rolling replacement")
        threads = [threading.Thread(target=caller, args=(i,)) for i in range(4)]
        for thread in threads:
            thread.start()
        exit_codes = []
        try:
            for name, process in d.processes.items():
                if process.program == "marigold-standin":
                    continue
                process.signal(signal.SIGTERM)
                exit_codes.append(process.wait(40))
                if exit_codes[-1] != 0:
                    print(f"  {name} exited with {exit_codes[-1]} after SIGTERM; logs are in {d.folder}", flush=True)
                process.start()
                d.wait_for(self.is_fully_serving, 60, f"{name} after its replacement")
        finally:
            # Running caller threads would keep the program alive after a failure.
            stop.set()
            for thread in threads:
                thread.join()
        forced = sum(code != 0 for code in exit_codes)
        requests, succeeded = self.tally.requests - before[0], self.tally.succeeded - before[1]
        print(f"  {self.case:<60} {succeeded:>3} of {requests:>3} succeeded, {len(exit_codes)} processes replaced, {forced} with a nonzero exit code", flush=True)
        return requests - succeeded + forced

    def is_fully_serving(self):
        d = self.deployment
        for name in d.entries:
            targets = json.loads(d.admin("GET", "/admin/targets", entry=name)[2])["targets"]
            if any(target["state"] != "serving" or not target["load"].get("bound") for target in targets):
                return False
        return True

    def count_violations(self):
        executions = {}
        for name in self.deployment.plain_services():
            for order_id, count in json.loads(request(self.deployment.ports[name], "GET", "/standin/executions")[2]).items():
                executions[order_id] = executions.get(order_id, 0) + count
        twice = [order_id for order_id, count in executions.items() if count > 1]
        # An order that two callers send concurrently may be refused as not_run on one connection and run on the other. The
        # refusal applies only to its own call, which was never sent; the other caller received the answer or
        # may_have_run. Seen in a trace with seed 20261204: the owner of the key refused connections to one caller and
        # failed while it ran the order of the other.
        false_not_run = [order_id for order_id, cases in self.tally.not_run.items()
                         if executions.get(order_id) and order_id not in self.tally.orders and order_id not in self.tally.may_have_run_orders]
        lost = [order_id for order_id in self.tally.orders if not executions.get(order_id)]
        corrupt = sum(self.deployment.counters(name).get("corrupt_context", 0) for name in self.deployment.engine_models())
        return twice, false_not_run, lost, corrupt


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--long", action="store_true")
    parser.add_argument("--case", help="PLACE/FAULT, several with +")
    options = parser.parse_args()
    print(f"seed: {options.seed}")
    bench = Bench(options.seed)
    singles = [[(place, fault)] for place in PLACES for fault in FAULTS]
    case_random = random.Random(options.seed)
    pairs = [[a[0], b[0]] for i, a in enumerate(singles) for b in singles[i + 1:]]
    if options.case:
        cases = [[tuple(item.strip().split("/")) for item in options.case.split("+")]]
    elif options.long:
        cases = singles + case_random.sample(pairs, 60)
    else:
        cases = case_random.sample(singles, 14) + case_random.sample(pairs, 3)
    start = time.time()
    with bench.deployment:
        bench.expected = [expected_text(bench.deployment.ports["reference"], "transcribe", p, MAX_TOKENS) for p in bench.prompts]
        for case in cases:
            begin = time.time()
            before = (bench.tally.requests, bench.tally.succeeded)
            bench.run_case(case)
            print(f"  {bench.case:<60} {bench.tally.succeeded - before[1]:>3} of {bench.tally.requests - before[0]:>3} succeeded in {time.time() - begin:.1f} s", flush=True)
        rolling_failures = bench.rolling_replacement() if not options.case else 0
        time.sleep(1.5)
        twice, false_not_run, lost, corrupt = bench.count_violations()
    tally = bench.tally
    for order_id in twice + false_not_run:
        print(f"  {order_id} in {tally.not_run.get(order_id)}: {tally.history.get(order_id)}")
    for label, items in (("run twice", twice), ("not_run for an order that ran", false_not_run), ("answered without a run", lost),
                         ("cut or mixed", tally.cut_or_mixed), ("without outcome", tally.without_outcome)):
        for item in items[:5]:
            print(f"  {label}: {item}")
    held = not (twice or false_not_run or lost or corrupt or tally.cut_or_mixed or tally.without_outcome or rolling_failures)
    print(f"result: cases={len(cases)} requests={tally.requests} orders_run_twice={len(twice)} false_not_run={len(false_not_run)} "
          f"answered_not_run={len(lost)} cut_or_mixed={len(tally.cut_or_mixed)} without_outcome={len(tally.without_outcome)} "
          f"foreign_context={corrupt} rolling_failures={rolling_failures} succeeded_percent={100 * tally.succeeded / max(1, tally.requests):.1f} elapsed_s={time.time() - start:.0f}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
