# \brief CPU time of a relay per relayed request and per stream event
"""Drives one real relay against the stand-ins of the soak and reads its CPU time from /proc.

The CPU time of an idle relay is subtracted, and the cost of a stream's request from the cost of its events.
"""

import argparse
import asyncio
import os
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform" / "soak"))
sys.path.insert(0, str(ROOT / "bench" / "support"))
from process_cost import cpu_seconds, resident_bytes  # noqa: E402
from soak import Relay, configuration  # noqa: E402
from standins import Store, Target  # noqa: E402
from wire import encode_response, read_answer  # noqa: E402

CALLERS = 8
PLAIN_REQUESTS = 12000
STREAMS = 400
EVENTS = 250
IDLE_SECONDS = 2.0


class NullChecker:
    """Replaces the checker of the soak; checks nothing, since the soak does."""

    def record_run(self, *_):
        pass

    def record_order(self, *_):
        pass


class SteadyTarget(Target):
    """Replies immediately, and streams events one by one."""

    async def run(self, request, writer):
        fields = [("X-Attempt-Id", request.header("x-attempt-id")), ("X-Server-Seal", "seal")]
        if not request.target.startswith("/stream/"):
            writer.write(encode_response(200, fields, b"x" * 800))
            return True
        head = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in fields] + ["Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {'y' * 60}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n")
        return True


async def send_requests(port, path, count):
    """Sends `count` requests on persistent connections; returns how many received a complete reply."""
    numbers = iter(range(count))
    done = 0

    async def caller():
        nonlocal done
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in numbers:
            writer.write((f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c{path[1]}{number}\r\nX-Deadline-Ms: 1500\r\n"
                          "X-Model: m\r\nX-Token-Counts: 100,20\r\nX-Prompt-Prefix: aa:50,bb:50\r\n"
                          "Authorization: Bearer key\r\nContent-Length: 200\r\n\r\n").encode() + b"z" * 200)
            status, _, _, complete = await read_answer(reader)
            done += status == 200 and complete
        writer.close()

    await asyncio.gather(*[caller() for _ in range(CALLERS)])
    return done


async def measure(binary):
    with tempfile.TemporaryDirectory() as folder:
        store = Store()
        await store.start()
        targets = [SteadyTarget(f"t{i}", store, NullChecker(), i) for i in range(4)]
        for target in targets:
            await target.start()
            target.address = f"127.0.0.1:{target.port}"
            target.start_instance()
        store.put("op/config", configuration(1))
        relay = Relay(0, binary, store.port, folder)
        await relay.start()
        await asyncio.sleep(1)
        pid = relay.process.pid

        async def spent(action):
            clock = asyncio.get_running_loop().time
            begin, cpu = clock(), cpu_seconds(pid)
            result = await action
            return cpu_seconds(pid) - cpu, clock() - begin, result

        idle, seconds, _ = await spent(asyncio.sleep(IDLE_SECONDS))
        rate = idle / seconds
        plain, plain_seconds, answered = await spent(send_requests(relay.callers, "/safe/x", PLAIN_REQUESTS))
        streams, stream_seconds, streamed = await spent(send_requests(relay.callers, "/stream/x", STREAMS))
        memory = resident_bytes(pid)
        relay.process.terminate()
        await relay.process.wait()
    request = (plain - rate * plain_seconds) / PLAIN_REQUESTS
    event = (streams - rate * stream_seconds - request * STREAMS) / (STREAMS * EVENTS)
    print(f"result: requests={answered} streams={streamed} us_per_request={1e6 * request:.1f} "
          f"us_per_event={1e6 * event:.2f} idle_percent={100 * rate:.2f} memory_mb={memory / 1e6:.1f}")
    return 0 if answered == PLAIN_REQUESTS and streamed == STREAMS else 1


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--relay", default=os.environ.get("MARIGOLD_BUILD", str(ROOT / "build")) + "/src/marigold-relay")
    parser.add_argument("--seed", type=int, default=0, help="accepted for scripts/bench; the load is not random")
    return asyncio.run(measure(parser.parse_args().relay))


if __name__ == "__main__":
    sys.exit(main())
