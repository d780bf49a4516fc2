"""A stand-in of a model server as a process of its own: stream_server.py PORT ID EVENTS INTERVAL_MS.

Its streams have neither a length nor chunks and end with their channel. Each event is written whole. Writes a line to
standard output for each stream that it has begun and for each that it has sent to its end.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "soak"))
from wire import encode_response, read_request, serve  # noqa: E402

port, identity, events, interval = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), int(sys.argv[4]) / 1000


async def handle(reader, writer):
    while (request := await read_request(reader)) is not None:
        attempt = request.header("x-attempt-id")
        if request.header("x-expect-instance") not in ("", identity):
            writer.write(encode_response(421, [("X-Attempt-Id", attempt), ("X-Instance-Id", identity)]))
            await writer.drain()
            continue
        print(f"{identity} begins {attempt}", flush=True)
        writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{attempt}\r\n"
                      "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n").encode())
        for number in range(1, events + 1):
            await asyncio.sleep(interval)
            writer.write(f"id: {number}\ndata: {attempt} {number}/{events}\n\n".encode())
            await writer.drain()
        print(f"{identity} ends {attempt}", flush=True)
        return


async def main():
    await serve(handle, port)
    print("listening", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
