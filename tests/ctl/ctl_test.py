"""Tests the exit codes, messages and requests of marigoldctl against a fake entry on the loopback interface.

The fake entry replies from a table that maps (method, path) to a list of answers, one for each call; the last one is
repeated. An answer is (status, JSON document or text), LOST, which closes the connection without a response, or SLOW,
which sends a byte every 50 ms for 10 s and then the document of version 99.
"""
import http.server
import json
import os
import random
import re
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

PROGRAM = sys.argv.pop(1)
LOST = "lost"
SLOW = "slow"
LATE = b'{"outcome": "accepted", "version": 99}'
SEED = int((re.search("seed=(\\d+)", os.environ.get("RC_PARAMS", "")) or [0, "20261204"])[1])
KEY = "mbop_ada_" + "0" * 64
CONFIG = (200, {"version": 41, "document": {"teams": {}}})


class Handler(http.server.BaseHTTPRequestHandler):
    def answer(self):
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        server = self.server
        server.seen.append((self.command, self.path, json.loads(body) if body else None))
        server.keys.append(self.headers.get("Authorization"))
        path = self.path
        if path.startswith("/admin/config/change/"):
            path = "/admin/config/change/ID"
        answers = server.answers.get((self.command, path), [(404, {"error": {"message": "no such path"}})])
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer == LOST:
            self.connection.shutdown(socket.SHUT_RDWR)
            self.close_connection = True
            return
        if answer == SLOW:
            self.send_response(200)
            self.send_header("Content-Length", str(200 + len(LATE)))
            self.end_headers()
            self.send_slowly()
            return
        status, document = answer
        data = (document if isinstance(document, str) else json.dumps(document)).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def send_slowly(self):
        try:
            for _ in range(200):
                self.wfile.write(b" ")
                time.sleep(0.05)
            self.wfile.write(LATE)
        except OSError:
            pass
        self.close_connection = True

    do_GET = do_POST = answer

    def log_message(self, *arguments):
        pass


class FakeEntry:
    def __init__(self, answers):
        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.answers = {key: list(value) if isinstance(value, list) else [value]
                               for key, value in answers.items()}
        self.server.seen = []
        self.server.keys = []
        self.url = "http://127.0.0.1:%d" % self.server.server_address[1]
        self.thread = threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.01})

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *arguments):
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()


def unreachable_entry():
    """Returns the URL of a port without a listener."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "http://127.0.0.1:%d" % probe.getsockname()[1]


def run(entries, *arguments, stdin="", key=KEY):
    flags = [flag for entry in entries for flag in ("--entry", entry)]
    environment = {name: value for name, value in os.environ.items() if not name.startswith("MARIGOLD_")}
    if key:
        environment["MARIGOLD_OPERATOR_KEY"] = key
    return subprocess.run([PROGRAM, *arguments, *flags], input=stdin, capture_output=True, text=True, timeout=60,
                          env=environment)


class CtlTest(unittest.TestCase):
    def check(self, completed, code, *texts):
        output = completed.stdout + completed.stderr
        self.assertEqual(completed.returncode, code, output)
        for text in texts:
            self.assertIn(text, output)
        self.assertNotIn(KEY, output)

    def patch_file(self, text):
        file = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
        self.addCleanup(os.unlink, file.name)
        with file:
            file.write(text)
        return file.name

    def test_responses_map_to_exit_codes(self):
        # Guards against a refusal or a conflict that a script treats as success.
        patch = self.patch_file('[{"op": "remove", "path": "/x"}]')
        error = {"error": {"verdict": "not_run", "reason": "forbidden", "message": "lacks the right", "field": "/x"}}
        conflict = {"error": {"verdict": "not_run", "reason": "conflict", "message": "c"}, "base": 41, "current": 44}
        cases = [
            ((200, {"outcome": "accepted", "version": 42}), 0, ["accepted: version 42"]),
            ((200, {"outcome": "dry_run", "changes": ["/x"]}), 0, ["dry run", "/x"]),
            ((400, error), 1, ["lacks the right (at /x)"]),
            ((401, {}), 4, ["no permission", "MARIGOLD_OPERATOR_KEY"]),
            ((403, error), 4, ["no permission: lacks the right"]),
            ((409, conflict), 3, ["based on version 41", "current version is 44", "config diff 41 44"]),
            ((409, "not JSON"), 3, ["conflict"]),
            ((503, error), 1, ["lacks the right"]),
        ]
        for answer, code, texts in cases:
            with self.subTest(answer=answer), FakeEntry({("GET", "/admin/config"): CONFIG,
                                                         ("POST", "/admin/config/patch"): answer}) as entry:
                self.check(run([entry.url], "config", "patch", patch), code, *texts)
                method, path, body = entry.server.seen[-1]
                self.assertEqual((method, path), ("POST", "/admin/config/patch"))
                self.assertEqual(body["base"], 41)
                self.assertEqual(body["format"], "json-patch")
                self.assertRegex(body["change_id"], "^42-[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-")
                self.assertEqual(set(entry.server.keys), {"Bearer " + KEY})

    def test_a_change_without_response_is_queried_by_its_id(self):
        # Guards against a change that is reported as failed although it was accepted, and against one that is sent
        # twice with different ids.
        unknown = (200, {"outcome": "unknown"})
        undetermined = (503, {"error": {"verdict": "may_have_run", "message": "lost"}})
        cases = [
            (LOST, [unknown, (200, {"outcome": "accepted", "version": 42})], 0, "accepted: version 42"),
            (LOST, [(200, {"outcome": "refused"})], 1, "refused"),
            (SLOW, [(200, {"outcome": "accepted", "version": 42})], 0, "accepted: version 42"),
            (LOST, [unknown], 6, "--base 41 --change-id"),
            ((202, {"outcome": "unknown"}), [(200, {"outcome": "accepted", "version": 42})], 0, "version 42"),
            ((200, "{\"outc"), [(200, {"outcome": "accepted", "version": 42})], 0, "version 42"),
            ((200, {}), [(200, {"outcome": "accepted", "version": 42})], 0, "version 42"),
            (undetermined, [(200, {"outcome": "accepted", "version": 42})], 0, "version 42"),
        ]
        for answer, resolutions, code, text in cases:
            with self.subTest(answer=answer, code=code), FakeEntry({
                    ("GET", "/admin/config"): CONFIG, ("POST", "/admin/domains/hall-bodo"): answer,
                    ("GET", "/admin/config/change/ID"): resolutions}) as entry:
                completed = run([entry.url, unreachable_entry()], "domain", "out", "hall-bodo", "--yes",
                                "--timeout-ms", "2000")
                self.check(completed, code, text)
                posts = [seen for seen in entry.server.seen if seen[0] == "POST"]
                self.assertEqual(len(posts), 1)
                self.assertEqual(posts[0][2]["in_service"], False)
                queried = [seen[1] for seen in entry.server.seen if "/change/" in seen[1]]
                self.assertEqual(set(queried), {"/admin/config/change/" + posts[0][2]["change_id"]})

    def test_a_change_that_may_have_run_is_not_sent_to_another_entry(self):
        # Guards against a change that two entries apply one after the other.
        may_have_run = (503, {"error": {"verdict": "may_have_run", "message": "lost"}})
        accepted = (200, {"outcome": "accepted", "version": 42})
        for answer in (LOST, may_have_run, (200, "{")):
            with self.subTest(answer=answer), FakeEntry({
                    ("GET", "/admin/config"): CONFIG, ("POST", "/admin/domains/d"): answer}) as first, FakeEntry({
                        ("GET", "/admin/config/change/ID"): accepted, ("POST", "/admin/domains/d"): accepted}) as second:
                first.server.answers[("GET", "/admin/config/change/ID")] = [LOST]
                self.check(run([first.url, second.url], "domain", "in", "d"), 0, "version 42")
                self.assertEqual([seen for seen in second.server.seen if seen[0] == "POST"], [])

    def test_an_unreachable_entry_is_skipped(self):
        # Guards against operators who cannot work because one entry has failed.
        refused = (503, {"error": {"verdict": "not_run", "message": "no configuration yet"}})
        with FakeEntry({("GET", "/admin/config"): CONFIG,
                        ("POST", "/admin/targets/e%2F1"): (200, {"outcome": "accepted", "version": 42})}) as available, \
                FakeEntry({("GET", "/admin/config"): refused, ("POST", "/admin/targets/e%2F1"): refused}) as unavailable:
            self.check(run([unreachable_entry(), unavailable.url, available.url], "target", "drain", "e/1"), 0,
                       "version 42")
            ids = {seen[2]["change_id"] for entry in (available, unavailable) for seen in entry.server.seen if seen[2]}
            self.assertEqual(len(ids), 1)
            self.assertTrue(available.server.seen[-1][2]["drained"])
        with FakeEntry({("GET", "/admin/status"): SLOW}) as slow:
            self.check(run([slow.url], "status", "--timeout-ms", "2000"), 5,
                       "did not respond completely within 2000 ms")
        self.check(run([unreachable_entry(), unreachable_entry()], "status"), 5, "no entry was reached")
        self.check(run([unreachable_entry()], "domain", "in", "hall-bodo"), 5, "no entry was reached")

    def test_a_dangerous_command_requires_confirmation(self):
        # Guards against a failure domain that is taken out of service by mistake or by a script without --yes.
        with FakeEntry({("GET", "/admin/config"): CONFIG,
                        ("POST", "/admin/domains/d"): (200, {"outcome": "accepted", "version": 42})}) as entry:
            for reply in ("", "n\n", "\n"):
                self.check(run([entry.url], "domain", "out", "d", stdin=reply), 2, "not confirmed")
            self.assertEqual(entry.server.seen, [])
            self.check(run([entry.url], "domain", "out", "d", stdin="y\n"), 0, "version 42")
        for command in (["config", "rollback", "41"], ["team", "key", "rotate", "t"]):
            self.check(run([unreachable_entry()], *command), 2, "not confirmed")

    def test_invalid_usage_and_malformed_files_send_nothing(self):
        # Guards against a partially understood command line that still changes something.
        malformed = self.patch_file('[{"op": "remove",\n "path": }]')
        merge = self.patch_file('{"x": null}')
        cases = [
            ([], "no command"), (["frobnicate"], "unknown command"), (["domain", "out"], "takes 1 argument"),
            (["domain", "out", "a", "b"], "takes 1 argument"), (["status", "--bse", "1"], "bse"),
            (["status", "--base", "1"], "does not apply"), (["config", "get", "--config-version", "x"], "x"),
            (["config", "patch", malformed], "line 2"), (["config", "patch", "/nonexistent"], "cannot be read"),
            (["config", "patch", merge], "must be an array"), (["config", "diff", "1", "two"], "not a version"),
            (["team", "add", "t", "--burst", "0"], "above 0"), (["team", "limit", "t"], "--burst"), (["team", "limit", "t", "--weight", "-1"], "above 0"),
            (["domain", "out", ""], "empty"), (["status", "--key-file", "/nonexistent"], "key file"),
            (["status", "--entry", "http://localhost:1"], "IP:PORT"), (["status", "--timeout-ms", "0"], "timeout"),
        ]
        with FakeEntry({}) as entry:
            for arguments, text in cases:
                with self.subTest(arguments=arguments):
                    self.check(run([entry.url], *arguments), 2, text)
            self.assertEqual(entry.server.seen, [])

    def test_documents_are_printed_as_tables_and_as_json(self):
        # Guards against output that programs cannot parse, and against terminal control sequences from remote texts.
        answers = {
            ("GET", "/admin/config"): CONFIG,
            ("GET", "/admin/status"): (200, {"entry": {"id": "e1"}, "domains": [{"name": "d\u001b[2J", "live": 3}]}),
            ("GET", "/admin/targets"): (200, {"targets": [{"id": "t1", "domain": "d", "load": {"running": 2}}]}),
            ("GET", "/admin/config/history?limit=3"): (200, {"entries": [
                {"version": 41, "author": "ada", "time": "2026", "change_id": "c", "paths": ["/x"]}]}),
            ("GET", "/admin/config/diff?from=1&to=2"): (200, {"patch": [{"op": "remove", "path": "/x"}]}),
            ("GET", "/admin/config/in_force?version=41"): (200, {"version": 41, "in_force": 2, "total": 3,
                                                                 "behind": ["agent-7"]}),
            ("GET", "/admin/explain/r1"): (200, {"request_id": "r1", "attempts": [{"target": "e2"}]}),
            ("GET", "/admin/dump?process=a%20b"): (200, {"process": "a b", "sections": {"routing": {"n": 1}}}),
        }
        cases = [
            (["status"], ["entry.id  e1", "LIVE", "d?[2J"]), (["target", "list"], ["DOMAIN", '{"running":2}']),
            (["config", "get"], ["version 41"]), (["config", "history", "--limit", "3"], ["ada", '["/x"]']),
            (["config", "diff", "1", "2"], ['"op":"remove"']), (["config", "in-force"], ["2 of 3", "behind: agent-7"]),
            (["explain", "r1"], ["request_id  r1", "e2"]), (["dump", "a b"], ["sections.routing.n  1"]),
        ]
        with FakeEntry(answers) as entry:
            for arguments, texts in cases:
                with self.subTest(arguments=arguments):
                    self.check(run([entry.url], *arguments), 0, *texts)
                    path = entry.server.seen[-1][1]
                    json_output = run([entry.url], *arguments, "--json")
                    self.assertEqual(json.loads(json_output.stdout), answers[("GET", path)][1])
            self.check(run([entry.url], "explain", "r2", "--json"), 1, '"exit_code":1', "no such path")
        for unexpected in ({}, [], 7, {"version": 1}, "{", ""):
            with self.subTest(unexpected=unexpected), FakeEntry({("GET", "/admin/config"): (200, unexpected)}) as entry:
                self.check(run([entry.url], "config", "get"), 1, "marigoldctl:")

    def test_a_request_is_explained_from_logs_without_an_entry(self):
        # Guards against logs that have to be searched by hand, and against a cause taken from the line of another
        # request.
        def line(request, second, **fields):
            return json.dumps({"time": f"2026-12-04T07:30:{second:02}.000Z", "level": "info", "event": "MB-2001",
                               "name": "relay_request_ended", "process": "relay-1", "request": request, **fields})
        refused = line("r1", 5, outcome="own_answer", status="503", age_ms="180", reason="no_target")
        answered = line("r2", 6, outcome="answered", status="200", age_ms="20", target="t1", placed_ms="1", first_ms="9")
        with tempfile.TemporaryDirectory() as folder:
            log = os.path.join(folder, "relay.log")
            with open(log, "w") as out:
                out.write("not a log line\n  5.0 vm-3 " + refused + "\n" + answered + "\n")
            self.check(run([], "explain", "r1", "--log", log), 0, "no target of its service", "relay-1")
            self.check(run([], "explain", "r2", "--log", log), 0, "Answered with 200")
            document = json.loads(run([], "explain", "r1", "--log", log, "--json").stdout)
            self.assertIn("Refused after 180 ms", document["cause"])
            self.check(run([], "explain", "r3", "--log", log), 1, "No process logged")
            self.check(run([], "explain", "r1", "--log", folder + "/none"), 2, "cannot be read")
            self.check(run([], "status", "--log", log), 2, "does not apply")
            piped = subprocess.run([PROGRAM, "explain", "r1", "--log", "-"], input=refused + "\n", text=True, capture_output=True)
            self.assertEqual(piped.returncode, 0, piped.stderr)
            self.assertIn("no target of its service", piped.stdout)

    def test_malformed_responses_never_crash_the_program(self):
        # Guards against a response that crashes the program or is accepted as a document although it is malformed.
        print("random seed: RC_PARAMS=seed=%d" % SEED)
        generator = random.Random(SEED)
        deep = ['{"version": 1, "document": ' + "[" * depth + "]" * depth + "}" for depth in (150, 300, 1_000_000)]
        answers = ["[" * 200_000, '{"version":' * 100_000, *deep]
        for _ in range(40):
            text = list(json.dumps(CONFIG[1]))
            for _ in range(generator.randrange(1, 6)):
                text[generator.randrange(len(text))] = generator.choice('{}[]":,\\0e\x00\xe9')
            answers.append("".join(text))
        with FakeEntry({("GET", "/admin/config"): [(200, answer) for answer in answers]}) as entry:
            for answer in answers:
                completed = run([entry.url], "config", "get")
                self.assertIn(completed.returncode, (0, 1), (answer[:200], completed.stderr[-200:]))
                if completed.returncode == 0 and answer not in deep:
                    self.assertIn("version", json.loads(answer), answer)
                if answer in deep:
                    self.assertEqual(completed.returncode, 0 if answer is deep[0] else 1)
            self.assertEqual(len(entry.server.seen), len(answers))

    def test_wait_returns_when_the_change_is_in_force(self):
        # Guards against a change that is reported as complete while some processes still use the previous version.
        behind = (200, {"version": 42, "in_force": 2, "total": 3, "behind": ["a"]})
        everywhere = (200, {"version": 42, "in_force": 3, "total": 3, "behind": []})
        for states, code, text in (([behind, everywhere], 0, "in force at 3 of 3"), ([behind], 1, "not in force")):
            with self.subTest(code=code), FakeEntry({
                    ("GET", "/admin/config"): CONFIG, ("GET", "/admin/config/in_force?version=42"): states,
                    ("POST", "/admin/domains/d"): (200, {"outcome": "accepted", "version": 42})}) as entry:
                self.check(run([entry.url], "domain", "in", "d", "--wait", "1"), code, text)

    def test_keys_are_printed_once_or_reported_as_lost(self):
        # Guards against a team without a usable key after a lost response.
        key = "mb_t_" + "1" * 64
        accepted = (200, {"outcome": "accepted", "version": 42})
        for answer, text in (((200, {"outcome": "accepted", "version": 42, "key": key}), key), (LOST, "key was lost")):
            with self.subTest(text=text), FakeEntry({
                    ("GET", "/admin/config"): CONFIG, ("POST", "/admin/teams"): answer,
                    ("GET", "/admin/config/change/ID"): accepted}) as entry:
                self.check(run([entry.url], "team", "add", "t", "--weight", "2", "--burst", "5"), 0, text)
        with FakeEntry({("GET", "/admin/config"): CONFIG,
                        ("POST", "/admin/teams/t/rotate"): (200, {"key": key})}) as entry:
            self.check(run([entry.url], "team", "key", "rotate", "t", "--yes"), 0, key)

    def test_help_and_keys_need_no_entry(self):
        # Guards against help that is unavailable during an outage.
        for arguments, text in ((["--help"], "Exit codes"), (["domain", "out", "--help"], "Example:"),
                                (["--version"], "marigoldctl ")):
            self.check(run([unreachable_entry()], *arguments, key=None), 0, text)
        keys = [run([], "key", "new").stdout.strip() for _ in range(3)]
        self.assertEqual(len(set(keys)), 3)
        self.assertEqual(sorted(key[:13] for key in keys), [key[:13] for key in keys])
        for key in keys:
            self.assertTrue(re.fullmatch("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}", key))


if __name__ == "__main__":
    unittest.main()
