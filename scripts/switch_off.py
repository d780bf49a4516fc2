#!/usr/bin/env python3
"""Switches off one mechanism of the relay at a time and says which tests fail without it.

    scripts/switch_off.py --copy /tmp/copy [--only RULE]

Works in a clone of this repository under --copy, which is built once; each row changes one place of the sources, builds the tests
of the relay and of the adapter, and runs them. A row without a failing test ends the script with 1.
"""

import argparse
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RELAY = "src/libs/relay/"

# Rule, what is switched off, file, text, text in its place.
ROWS = [
    ("MIXED", "the id of an answer is not compared", RELAY + "relay_session_answer.cpp",
     "if (answer.attemptId != m_request.attemptId)\n        return false;", ""),
    ("MIXED", "parts that are not whole are fetched", RELAY + "context_catalog.cpp",
     "found->second.tokens >= tokens ? &found->second", "tokens >= 0 ? &found->second"),
    ("MIXED", "a silent store goes on to be used", RELAY + "context_catalog.cpp",
     "now - home->heardAt > m_options.freshness", "false"),
    ("MIXED", "replaced context is freed at once", RELAY + "context_keeper.cpp",
     "m_clock.now() - newer->second >= m_options.settle", "true"),
    ("MIXED", "gaps in the events that are passed on are not seen", RELAY + "context_follower.cpp",
     "if (!isSameLife || !continues)", "if (false)"),
    ("UNASKED", "fields with odd bytes are taken", RELAY + "message_parser.cpp",
     "if (!isToken(name) || !isFieldText(value)) {", "if (false) {"),
    ("UNASKED", "system fields of callers are forwarded", "platform/header_dialect.cpp",
     "|| contains(systemFields, name)", ""),
    ("TWICE", "what may have run is sent again", RELAY + "relay_session_answer.cpp",
     "if (!mayRepeat() || m_possibleRuns >= m_route->maxAttempts)\n        return false;", ""),
    ("REFUSED", "what may have run is refused as not run", RELAY + "relay_session.cpp",
     "m_verdict = base::combine(m_verdict, base::verdict::MayHaveRun);\n        attemptEnded();\n    }\n    if (m_verdict",
     "attemptEnded();\n    }\n    if (m_verdict"),
    ("DENIED", "unknown keys are let in", RELAY + "relay_session.cpp",
     'answerOwn(http_status::unauthorized, {}, "unknown_key");\n            return false;', ""),
    ("ROUTE", "requests are answered 404 while no configuration is known", RELAY + "relay_session.cpp",
     'answerOwn(http_status::serviceUnavailable, unconfiguredRetryAfter(), "no_configuration")',
     'answerOwn(http_status::notFound, {}, "no_configuration")'),
    ("BUDGET", "each relay uses the whole slack", RELAY + "retry_budgets.cpp", "/ (m_processes + 1)", ""),
    ("GONE", "the target goes on when the caller has left", RELAY + "relay_session.cpp",
     "m_caller = nullptr;\n    if (m_connection) {\n        m_connection->cancel();", "m_caller = nullptr;\n    if (m_connection) {"),
    ("LOST", "connections stay open while the process stops", RELAY + "relay_server.cpp",
     "m_callers.closeAfterAnswer();", ""),
    ("LOST", "callers that come late in a stop are taken", RELAY + "relay_server.cpp", "m_noticed = true;", ""),
    ("DRAIN", "targets that drain get requests", RELAY + "target_registry.cpp", "registration.draining ? routing::target_state::Draining : routing::target_state::Serving", "routing::target_state::Serving"),
    ("EVAC", "excluded domains get requests", RELAY + "target_registry.h",
     "m_table.setExcludedDomains(domains);", ""),
    ("CONFIG", "a lost history is not read again", RELAY + "state_follower.cpp",
     "if (m_mustReadAll)", "if (false)"),
    ("CONFIG", "an older configuration replaces a newer one", RELAY + "relay_server.cpp",
     "config->version() <= m_services.config->version()", "false"),
    ("ORDER", "half an event is forwarded", RELAY + "event_scanner.cpp", "return whole;", "return std::string(piece);"),
    ("FAILBACK", "a cold target takes all", RELAY + "intake_limiter.cpp",
     "return static_cast<double>(m_sent.size()) + 1 <= perSecond;", "return true;"),
    ("ONE", "orders go on after the lease", RELAY + "order_lease_holder.cpp", "&& m_lease.isValid()", ""),
    ("ONE", "orders begin at once after another holder", RELAY + "order_lease_holder.cpp",
     "&& m_clock.now() >= m_mayOrderFrom", ""),
    ("STALE", "requests do not state the weights that they expect", "platform/header_dialect.cpp",
     "if (added.weightVersion)", "if (false)"),
    ("WALL", "isolated teams share context", RELAY + "context_scope.cpp",
     'weightVersion, model, isolatedTeam);', 'weightVersion, model, "");'),
    ("VERSION", "old weights are used after the limit", RELAY + "target_chooser.cpp",
     "m_clock.now() - named->second.since >= oldWeightsLimit()", "false"),
    ("VERSION", "an order without answer is not repeated", RELAY + "weights_rollout.cpp", "m_options.orderTimeout", "std::chrono::hours(1)"),
    ("Starved", "urgent requests wait behind others", RELAY + "waiting_room.cpp", "item.urgency(),", "0,"),
    ("Starved", "a request that is not ready holds larger ones back", RELAY + "waiting_room.cpp",
     "if (attempt == place_attempt::NoRoom)", "if (true)"),
    ("Sizes", "smaller requests do not pass", RELAY + "waiting_room.cpp",
     "|| request->size() < refused->second", ""),
]


def run(command, folder):
    return subprocess.run(command, cwd=folder, capture_output=True, text=True)


def failing_tests(copy):
    build = run(["cmake", "--build", "build", "--target", "relay_test", "platform_adapter_test"], copy)
    if build.returncode != 0:
        return ["(does not build)"]
    names = []
    for test in ("relay_test", "platform_adapter_test"):
        try:
            done = subprocess.run([f"build/tests/{test}"], cwd=copy, capture_output=True, text=True, timeout=120,
                                  env={"RC_PARAMS": "seed=20261204"})
        except subprocess.TimeoutExpired:
            names.append(f"{test} (never ends)")
            continue
        if done.returncode < 0:
            names.append(f"{test} (signal {-done.returncode})")
        names += re.findall(r"TEST CASE:  (.*)", done.stdout)
    return sorted(set(names))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--copy", required=True)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    copy = Path(options.copy)
    if not copy.exists():
        run(["git", "clone", "-q", str(ROOT), str(copy)], ROOT)
        run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja"], copy)
    unguarded = 0
    for rule, what, name, old, new in ROWS:
        if options.only and rule != options.only:
            continue
        file = copy / name
        text = file.read_text()
        pattern = r"\s+".join(re.escape(word) for word in old.split())
        changed, count = re.subn(pattern, lambda _: new, text, count=1)
        if count != 1:
            print(f"{rule}: {what}: text not found in {name}", flush=True)
            unguarded += 1
            continue
        file.write_text(changed)
        try:
            failed = failing_tests(copy)
        finally:
            file.write_text(text)
        unguarded += not failed or failed == ["(does not build)"]
        print(f"{rule}: {what}: {len(failed)} failing: {'; '.join(failed[:3]) or 'NONE'}", flush=True)
    return 1 if unguarded else 0


if __name__ == "__main__":
    sys.exit(main())
