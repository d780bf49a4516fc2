#!/usr/bin/env python3
"""Disables one mechanism of the relay at a time and reports which tests fail without it.

    scripts/switch_off.py --copy /tmp/copy [--only RULE]

Works on a clone of this repository under --copy. Each row changes one place in the sources, builds the tests of its folder (of
the relay and the platform adapter, if it is a file of these), and runs them. The exit status is 1 if a row has no failing test.
"""

import argparse
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RELAY = "src/libs/relay/"

# The rows of this rule are checked by a run of several processes as well.
PROCESS_RULE = "crashing parts"

# Rule, effect of the change, file, text, replacement.
ROWS = [
    ("MIXED", "the attempt id of an answer is not checked", RELAY + "session/relay_session_answer.cpp",
     "if (answer.attemptId != m_request.attemptId)\n        return false;", ""),
    ("MIXED", "partial parts are fetched", RELAY + "context/context_catalog.cpp",
     "found->second.tokens >= tokens ? &found->second", "tokens >= 0 ? &found->second"),
    ("MIXED", "outdated information from a store is used", RELAY + "context/context_catalog.cpp",
     "now - owner->lastReceivedAt > m_options.maxAge", "false"),
    ("MIXED", "replaced context is freed without a delay", RELAY + "context/context_reclaimer.cpp",
     "m_clock.now() - newer->second >= m_options.freeDelay", "true"),
    ("MIXED", "gaps in forwarded events are not detected", RELAY + "context/context_follower.cpp",
     "if (!isSameIncarnation || !continues)", "if (false)"),
    ("MIXED", "a late registration replaces the present one", RELAY + "store/presence.cpp",
     ".expectedRevision = 0,", ".expectedRevision = {},"),
    ("MIXED", "answers whose status is none are accepted", RELAY + "message/message_parser.cpp",
     "!http_status::isValid(static_cast<int>(parser->status_code))", "false"),
    ("MIXED", "an answer may end before its request was written", RELAY + "targets/target_connection.cpp",
     "connection->m_closeEndsSuccess && connection->isRequestUnwritten()", "false"),
    ("UNASKED", "fields with invalid bytes are accepted", RELAY + "message/message_parser.cpp",
     "if (!isToken(name) || !isFieldText(value)) {", "if (false) {"),
    ("UNASKED", "system fields of callers are forwarded", "platform/header_dialect.cpp",
     "|| contains(systemFields, name)", ""),
    ("TWICE", "requests that may have run are sent again", RELAY + "session/relay_session_answer.cpp",
     "if (!mayRepeat() || m_possibleRuns >= m_route->maxAttempts)\n        return false;", ""),
    ("TWICE", "a setting for streams lets other requests be repeated", RELAY + "store/relay_config.h",
     "return kind == request_kind::Stream && resumable;", "return resumable;"),
    ("REFUSED", "requests that may have run are refused as not run", RELAY + "session/relay_session.cpp",
     "m_verdict = base::combine(m_verdict, base::verdict::MayHaveRun);\n        releaseTarget();\n    }\n    if (m_verdict",
     "releaseTarget();\n    }\n    if (m_verdict"),
    ("DENIED", "unknown keys are accepted", RELAY + "session/relay_session.cpp",
     'sendOwnAnswer(http_status::unauthorized, {}, "unknown_key");\n            return false;', ""),
    ("ROUTE", "requests are answered 404 while no configuration is known", RELAY + "session/relay_session.cpp",
     'sendOwnAnswer(http_status::serviceUnavailable, unconfiguredRetryAfter(), "no_configuration")',
     'sendOwnAnswer(http_status::notFound, {}, "no_configuration")'),
    ("BUDGET", "each relay uses the complete slack", RELAY + "admission/retry_budgets.cpp",
     ".processes = m_others.size() + 1,", ".processes = 1,"),
    ("GONE", "the target continues after the caller has disconnected", RELAY + "session/relay_session.cpp",
     "m_caller = nullptr;\n    if (m_connection) {\n        m_connection->cancel();", "m_caller = nullptr;\n    if (m_connection) {"),
    ("LOST", "connections stay open during a shutdown", RELAY + "relay_server_stop.cpp",
     "m_callers.closeAfterAnswer();", ""),
    ("LOST", "a shutdown does not wait for slow callers", RELAY + "relay_server_stop.cpp",
     "if (!m_callers.hasPendingAnswers())\n        return finishDrain();", "return finishDrain();"),
    ("LOST", "requests late in a shutdown are accepted", RELAY + "relay_server_stop.cpp", "m_noticePeriodOver = true;", ""),
    ("DRAIN", "draining targets get requests", RELAY + "targets/target_registry_notices.cpp",
     "target.leaving = target.registration.draining || ", "target.leaving = "),
    ("DRAIN", "targets that have announced their leaving get requests", RELAY + "targets/target_registry_notices.cpp",
     "target.registration.draining || m_standing.isLeaving(target.registration);", "target.registration.draining;"),
    ("BUDGET", "targets that have asked for time get requests", RELAY + "targets/target_registry_notices.cpp",
     "target.requestedPauseUntil = m_standing.pausedUntil(target.registration);", ""),
    ("EVAC", "excluded domains get requests", RELAY + "targets/target_registry.h",
     "m_table.setExcludedDomains(domains);", ""),
    ("CONFIG", "no snapshot is read after a lost history", RELAY + "store/state_follower.cpp",
     "if (m_snapshotRequired)", "if (false)"),
    ("CONFIG", "an older configuration replaces a newer one", RELAY + "relay_server.cpp",
     "config->version() <= m_services.config->version()", "false"),
    ("ORDER", "partial events are forwarded", RELAY + "message/event_scanner.cpp", "return complete;", "return std::string(chunk);"),
    ("FAILBACK", "a cold target gets all requests", RELAY + "admission/send_rate_limiter.cpp",
     "return static_cast<double>(m_sendTimes.size()) + 1 <= perSecond;", "return true;"),
    ("FAILBACK", "each relay may send at least one request a second", RELAY + "admission/send_rate_limiter.cpp",
     "return whole + (usesRest ? 1 : 0);", "return whole < 1 ? 1 : whole;"),
    ("FAILBACK", "a relay without the store uses its whole share", RELAY + "admission/send_rate_limiter.cpp",
     "(isolated ? isolatedFactor * count : count)", "count"),
    ("FAILBACK", "groups of processes are not connected", RELAY + "placement/sender_groups.cpp",
     "return std::ranges::any_of(member, [&](std::size_t own) { return (own & (groups - 1)) == group; });",
     "return (member[0] & (groups - 1)) == group;"),
    ("MIXED", "context is freed while a relay still uses its weights", RELAY + "orders/weights_in_use.h",
     "oldest = std::min(oldest, reportOf(process, model));", "static_cast<void>(process);"),
    ("MIXED", "weights that were given up are used again", RELAY + "targets/target_registry.cpp",
     "|| hasOldWeights(target)", ""),
    ("herd", "the others are not told that a target loads", RELAY + "exchange/load_exchange.cpp",
     ".loadingChanged = [this](const target_record& target) { loadingChanged(target); },", ""),
    ("herd", "the others are told of a request with the next full digest", RELAY + "exchange/load_exchange.cpp",
     ".requestStarted = [this](const target_record& target) { requestStarted(target); },", ""),
    ("herd", "a target that refused gets requests at once", RELAY + "targets/target_registry.cpp",
     " || m_clock.now() < target.pausedUntil", ""),
    ("slow stores", "all parts are fetched from a slow store", RELAY + "context/context_catalog.cpp",
     "if (holder && !holder->throttle.admits(parts[i].id, now)) {", "if (false) {"),
    ("slow stores", "fetches have no time limit", "platform/header_dialect.cpp",
     "hasEndpoint(added.context->fetchFrom) && added.fetchUntilMs", "false"),
    ("endless", "bytes before an answer have no limit", RELAY + "targets/target_connection.cpp",
     "return m_preambleBytes <= m_options.maxPreambleBytes;", "return true;"),
    ("endless", "one head has no time limit", RELAY + "targets/target_connection.cpp",
     "if (m_preambleTimer == 0)", "if (false)"),
    ("endless", "the body of a refusal is read to its end", RELAY + "session/relay_session_answer.cpp",
     "m_discardTimer = m_services.loop.runAfter(delay,", "m_discardTimer = m_services.loop.runAfter(std::chrono::hours(1),"),
    ("endless", "an event has no limit", RELAY + "session/relay_session_answer.cpp",
     "m_events.partialBytes() > maxEventBytes", "false"),
    ("VERSION", "a failed attempt to take the lease on orders is the last one", RELAY + "orders/order_lease_holder.cpp",
     "m_competeFrom = std::max(m_competeFrom, m_clock.now() + m_options.retryDelay);\n    scheduleCompete();", ""),
    ("ONE", "orders are sent after the end of the lease", RELAY + "orders/order_lease_holder.h", " && m_lease.isValid();", ";"),
    ("ONE", "a token does not count the era of the store", "src/libs/platform/state_era.h",
     "return (era << revisionBits) + revision;", "return era == 0 ? revision : revision + 0 * revisionBits;"),
    ("ONE", "a lease counts in later eras", RELAY + "store/store_lease.h", "m_era == m_store.era() ? m_id : 0", "m_id"),
    ("ONE", "a holder of a new era does not wait for those of earlier ones", RELAY + "orders/order_lease_holder.cpp",
     "std::max(m_clock.now(), m_earlierLeasesEnd)", "m_clock.now()"),
    ("ONE", "orders are sent immediately after another holder", RELAY + "orders/order_lease_holder.cpp",
     "&& m_clock.now() >= m_mayOrderFrom", ""),
    ("STALE", "requests do not state the expected weights", "platform/header_dialect.cpp",
     "if (added.weightVersion)", "if (false)"),
    ("WALL", "isolated teams share context", RELAY + "context/context_scope.cpp",
     "scope.isolatedTeam = owner->name;", ";"),
    ("WALL", "the others keep their scope when a team becomes isolated", RELAY + "context/context_scope.cpp",
     "scope.isolationDigest = config.isolationDigest();", ";"),
    ("VERSION", "old weights are used after the time limit", RELAY + "placement/target_chooser.cpp",
     "m_clock.now() - wanted.since >= oldWeightsLimit()", "false"),
    ("VERSION", "an order without an answer is not repeated", RELAY + "orders/weights_rollout.cpp", "m_options.orderTimeout", "std::chrono::hours(1)"),
    ("Starved", "urgent requests wait behind others", RELAY + "admission/wait_queue.cpp", "item.urgency(),", "0,"),
    ("Starved", "a request that is not ready blocks larger ones", RELAY + "admission/wait_queue.cpp",
     "if (result == dispatch_result::NoCapacity)", "if (true)"),
    ("Sizes", "smaller requests do not pass larger ones", RELAY + "admission/wait_queue.cpp",
     "|| request->size() < unplaced->second", ""),
    ("crashing parts", "blocked parts are sent", RELAY + "session/relay_session.cpp", "if (!block)\n        return false;", "return false;"),
    ("crashing parts", "requests at a target are not taken back", RELAY + "session/relay_session.cpp",
     "m_connection->cancel();\n        m_verdict = base::combine(m_verdict, base::verdict::MayHaveRun);\n        releaseTarget();\n    }\n    if (m_isQueued)",
     "return;\n    }\n    if (m_isQueued)"),
    ("crashing parts", "the others are told nothing", RELAY + "exchange/quarantine_exchange.cpp",
     "m_send(address, datagram);", "static_cast<void>(address);"),
    ("crashing parts", "records are not stored", RELAY + "exchange/quarantine_exchange.cpp",
     "m_unwritten.empty() || std::exchange(m_writeScheduled, true)", "true"),
    ("crashing parts", "an entry of the store is not applied", RELAY + "exchange/quarantine_exchange.cpp", "    apply(entry.batch);", ""),
    ("crashing parts", "a lost connection counts as an end", RELAY + "targets/target_end_detector.cpp",
     "if (result == net::probe_result::Refused)", "if (true)"),
    ("crashing parts", "answers do not clear parts", RELAY + "admission/part_quarantine.cpp", 'clear(part, "answered");', ""),
    ("crashing parts", "parts that were answered before need no more ends than others", RELAY + "admission/part_quarantine_evidence.cpp",
     "item->second.sound ? m_options.soundBlockWeight : m_options.blockWeight", "item->second.sound ? m_options.blockWeight : m_options.blockWeight"),
    ("crashing parts", "simultaneous ends count each", RELAY + "admission/part_quarantine_evidence.cpp", "end->at - clusterBegin >= separation", "true"),
    ("crashing parts", "an explained end counts against others", RELAY + "admission/part_quarantine_evidence.cpp", "explained.insert(worst->evidence.begin(), worst->evidence.end());", ""),
    ("crashing parts", "a request is refused with one of the common parts", RELAY + "admission/part_quarantine.cpp",
     "std::ranges::all_of(with,", "std::ranges::any_of(with,"),
    ("crashing parts", "blocks do not end", RELAY + "admission/part_quarantine.cpp", "record.until <= now && !record.byOperator", "false"),
    ("crashing parts", "no trials", RELAY + "admission/part_quarantine.cpp", "m_clock.now() < found->second.nextTrial", "true"),
    ("crashing parts", "each process starts each trial", RELAY + "exchange/quarantine_exchange.cpp", ".expectedRevision = 0,", ""),
    ("crashing parts", "blocks are not passed on again", RELAY + "exchange/quarantine_exchange.cpp",
     "!batch.records.empty() && !m_peers.empty()", "false"),
    ("ORDER", "a stream that ends inside an event is complete", RELAY + "session/answer_end.cpp",
     "if (answer.stream && answer.stream->insideEvent())\n        return answer_end::BrokenOff;", ""),
    ("ORDER", "an answer that ends with its connection is complete though its target ended", RELAY + "session/answer_end.cpp",
     "answer.targetIsLeaving ? answer_end::Complete : answer_end::CheckTarget", "answer_end::Complete"),
    ("ORDER", "the result of the probe is not used", RELAY + "targets/target_end_detector.cpp",
     "if (result == net::probe_result::Refused)\n confirm(incarnation);\n done(", "done("),
    ("ORDER", "a target that started again counts as the one that closed the answer", RELAY + "targets/target_end_detector.cpp",
     "done(hasEnded(incarnation));", "done(result == net::probe_result::Refused);"),
    ("ORDER", "a carriage return alone ends no line", RELAY + "message/event_scanner.cpp",
     "if (byte == '\\r' || byte == '\\n') {", "if (byte == '\\r') continue; if (byte == '\\n') {"),
    ("ORDER", "comments count as events", RELAY + "message/event_scanner.cpp", "(m_atLineStart && byte != ':')", "m_atLineStart"),
    ("ORDER", "a broken stream ends orderly for a caller without chunks", RELAY + "callers/caller_connection.cpp",
     "if (m_endsWithConnection && (m_state == state::Handling || pendingBytes() > 0)) {", "if (false) {"),
    ("ORDER", "JSON that is cut off is complete", RELAY + "session/answer_end.cpp", "answer.isCutJson ||", ""),
    ("ORDER", "a reply without a length is kept though its service ended", "src/libs/agent/http_plain_service.cpp",
     "if (result == net::probe_result::Refused)", "if (false)"),
    ("ORDER", "a reply of cut JSON is kept", "src/libs/agent/http_plain_service.cpp",
     "if (net::isCutJson(answer->headers, reply.body))", "if (false)"),
    ("ORDER", "a block without a length is kept", "src/libs/platform/http_completion_engine.cpp",
     "if (answer->endsWithConnection)", "if (false)"),
    ("ORDER", "a completion without its final event is complete", "src/libs/platform/http_completion_engine.cpp",
     "if (!state.end || state.malformed)", "if (false)"),
]

# Programs that test a row, by the folder of its file.
TESTS = {"src/libs/agent/": ["agent_test"], "src/libs/platform/": ["platform_test"]}
RELAY_TESTS = ["relay_test", "platform_adapter_test"]


def run(command, folder):
    return subprocess.run(command, cwd=folder, capture_output=True, text=True)


def failing_tests(copy, tests, with_processes):
    targets = tests + (["marigold-relay"] if with_processes else [])
    build = run(["cmake", "--build", "build", "--target", *targets], copy)
    if build.returncode != 0:
        return ["(does not build)"]
    names = []
    for test in tests:
        try:
            done = subprocess.run([f"build/tests/{test}"], cwd=copy, capture_output=True, text=True, timeout=600,
                                  env={"RC_PARAMS": "seed=20261204"})
        except subprocess.TimeoutExpired:
            names.append(f"{test} (timed out)")
            continue
        if done.returncode < 0:
            names.append(f"{test} (signal {-done.returncode})")
        names += re.findall(r"TEST CASE:  (.*)", done.stdout)
    if with_processes and run(["python3", "platform/soak/crashing_part.py", "--relay", "build/src/marigold-relay"], copy).returncode:
        names.append("crashing_part")
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
    undetected = 0
    for rule, what, name, old, new in ROWS:
        if options.only and rule != options.only:
            continue
        file = copy / name
        text = file.read_text()
        pattern = r"\s+".join(re.escape(word) for word in old.split())
        changed, count = re.subn(pattern, lambda _: new, text, count=1)
        if count != 1:
            print(f"{rule}: {what}: text not found in {name}", flush=True)
            undetected += 1
            continue
        file.write_text(changed)
        try:
            failed = failing_tests(copy, TESTS.get(name.rpartition("/")[0] + "/", RELAY_TESTS), rule == PROCESS_RULE)
        finally:
            file.write_text(text)
        undetected += not failed or failed == ["(does not build)"]
        print(f"{rule}: {what}: {len(failed)} failing: {'; '.join(failed[:3]) or 'NONE'}", flush=True)
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
