"""Client side of a deployment: prompts with a known reply, streamed completions and parallel requests."""

import http.client
import json
import random
import threading
import time

from deployment import HOST, request

BLOCK_BYTES = 4096


def make_prompt(seed, blocks, tail=""):
    """Returns a prompt of complete blocks plus `tail`. Prompts of different seeds differ from their first bytes on."""
    source = random.Random(seed)
    words = [f"w{source.randrange(10**6):06d}" for _ in range(blocks * BLOCK_BYTES // 8)]
    return " ".join(words)[: blocks * BLOCK_BYTES - 1] + "\n" + tail


class Answer:
    """Outcome of one streamed completion."""

    def __init__(self):
        self.text = ""
        self.complete = False
        self.error = None
        self.status = 0
        self.first_token_seconds = None
        self.token_gaps_seconds = []
        self.usage = {}
        self.event_id = None
        self.request_id = None


def read_stream(response, answer, start, stop_after=None):
    """Reads server-sent events into `answer`; returns early after `stop_after` data events."""
    name, data, data_events, last = "", "", 0, None
    while True:
        line = response.readline()
        if not line:
            return
        line = line.decode().rstrip("\n")
        if line.startswith("event:"):
            name = line[6:].strip()
        elif line.startswith("id:"):
            answer.event_id = line[3:].strip()
        elif line.startswith("data:"):
            data = line[5:].strip()
        elif not line:
            if data == "[DONE]":
                answer.complete = True
            elif name == "error":
                answer.error = json.loads(data)["error"]
            elif data:
                body = json.loads(data)
                now = time.time()
                choice = body["choices"][0]
                text = choice.get("text", choice.get("delta", {}).get("content", ""))
                if text:
                    if answer.first_token_seconds is None:
                        answer.first_token_seconds = now - start
                    if last is not None:
                        answer.token_gaps_seconds.append(now - last)
                    last = now
                answer.text += text
                answer.usage = body.get("usage", answer.usage)
                data_events += 1
                if stop_after is not None and data_events >= stop_after:
                    return
            name, data = "", ""


def complete(port, headers, model, prompt, max_tokens=8, last_event_id=None, stop_after=None, timeout=60):
    """Requests one streamed completion and returns its Answer."""
    answer = Answer()
    start = time.time()
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        if last_event_id:
            headers = {**headers, "Last-Event-ID": last_event_id}
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "temperature": 0, "stream": True}
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        response = connection.getresponse()
        answer.status = response.status
        answer.request_id = response.getheader("X-Request-Id")
        if response.status != 200:
            answer.error = json.loads(response.read())["error"]
        else:
            read_stream(response, answer, start, stop_after)
    except (OSError, http.client.HTTPException, ValueError) as exception:
        answer.error = {"verdict": None, "reason": "connection", "message": repr(exception)}
    finally:
        connection.close()
    return answer


def expected_text(port, model, prompt, max_tokens):
    """Returns the reply that a prompt must have, queried directly from an engine stand-in."""
    body = {"request_id": f"reference-{random.getrandbits(64):x}", "model": model, "prompt": prompt, "max_tokens": max_tokens, "priority": 9}
    _, _, data = request(port, "POST", "/v1/completions", body)
    text = ""
    for line in data.decode().splitlines():
        if line.startswith("data: "):
            text += json.loads(line[6:]).get("text", "")
    return text


def percentile(values, share):
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_parallel(jobs, workers):
    """Runs the callables on at most `workers` threads; returns their results in order."""
    results = [None] * len(jobs)
    lock = threading.Lock()
    index = iter(range(len(jobs)))

    def work():
        while True:
            with lock:
                i = next(index, None)
            if i is None:
                return
            results[i] = jobs[i]()

    threads = [threading.Thread(target=work) for _ in range(min(workers, len(jobs)))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results
