"""A server runs a request that must not be repeated and loses its answer; the route has `Resumable`."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from deployment import encode_response, play, read_request, reset, serve  # noqa: E402

REQUESTS = 20
TIME_LIMIT_MS = 3_000

CONFIG = {"Version": 1,
          "Routes": [{"Name": "confirm", "Host": "h", "Prefix": "/confirm/", "Kind": "non_idempotent",
                      "TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 2, "Service": "desk", "MaxAttempts": 2,
                      "Anonymous": False, "Sticky": False, "Resumable": True}],
          "Services": [{"Name": "desk", "HealthPath": "/health", "MaxConnections": 110}],
          "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
          "Tenants": [{"Name": "team", "ApiKeys": ["key"]}]}


async def scenario(deployment):
    runs = {}

    def server(server_id):
        async def handle(reader, writer):
            while (request := await read_request(reader)) is not None:
                attempt = request.header("x-attempt-id")
                runs.setdefault(attempt, []).append(server_id)
                deployment.record(f"{server_id} runs {attempt} {request.method} {request.target}")
                await asyncio.sleep(0.06)
                # "A server runs a request and its answer is lost": the channel is reset after every fourth run.
                if deployment.trouble and int(attempt[1:]) % 4 == 0 and len(runs[attempt]) == 1:
                    deployment.record(f"{server_id} loses the answer to {attempt}: the channel is reset")
                    return reset(writer)
                fields = [("X-Attempt-Id", attempt), ("X-Server-Seal", "seal")]
                writer.write(encode_response(200, fields, b"confirmed"))
                await writer.drain()

        return handle

    deployment.configure(CONFIG)
    for number in range(1, 4):
        _, port = await serve(server(f"i-{number}"))
        deployment.register(f"i-{number}", "desk", f"127.0.0.1:{port}", Slots=6)
    await deployment.start_relays()
    relay = deployment.relays[0]
    await asyncio.sleep(0.5)
    for number in range(1, REQUESTS + 1):
        reader, writer = await asyncio.open_connection(relay.ip, relay.port)
        writer.write((f"POST /confirm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a{number}\r\n"
                      f"X-Deadline-Ms: {TIME_LIMIT_MS}\r\nAuthorization: Bearer key\r\nConnection: close\r\n"
                      "Content-Length: 7\r\n\r\n2 seats").encode())
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        deployment.record(f"the client of a{number} gets {answer[9:12].decode() or 'no answer'}")
    twice = {attempt: servers for attempt, servers in runs.items() if len(servers) > 1}
    deployment.record(f"requests that ran more than once: {twice or 'none'}")
    # TWICE: a request that isn't idempotent runs more than once.
    return bool(twice)


play(str(HERE), scenario)
