"""A front must not be killed for memory by a request with a long body."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import standins
from standins import BROKEN, HELD, TROUBLE, CannotRun

# The memory that the front has; over it, the platform kills it.
MEMORY_MB = 48
# The load: reads a second, for so many seconds.
RATE = 40.0
SECONDS = 16.0
# One client sends one write with a long body, at an even rate, in the middle of the run.
LONG_BODY = 32 << 20
LONG_BODY_AT = 4.0
LONG_BODY_BYTES_PER_SECOND = 8 << 20


class Server(standins.ChunkServer):
    """Runs each request once its last byte has come, and answers."""

    def handle(self, connection, request):
        self.record(f"{self.name} got {request.method} {request.txn} with {len(request.body)} bytes")
        work = random.uniform(0.013, 0.031)
        asyncio.get_running_loop().call_later(work, self.finish, connection, request)

    def finish(self, connection, request):
        if not connection.closed:
            connection.send(standins.response(200, request.txn.encode()))


class LongBodyConnection(standins.ServerConnection):
    """Collects long bodies without copying them for each piece."""

    def arrive(self, data):
        self.pieces = getattr(self, "pieces", [])
        self.pieces.append(data)
        self.length = getattr(self, "length", 0) + len(data)
        if self.length < getattr(self, "wanted", 0):
            return
        data, self.pieces, self.length, self.wanted = b"".join(self.pieces), [], 0, 0
        end = data.find(b"\r\n\r\n")
        if end >= 0:
            _, headers = standins.parse_head(data[:end])
            wanted = end + 4 + int(headers.get("content-length", "0"))
            if len(data) < wanted:
                self.pieces, self.length, self.wanted = [data], len(data), wanted
                return
        super().arrive(data)


def resident_kb(pid):
    """Returns the resident memory of a process, less the pages of files."""
    try:
        with open(f"/proc/{pid}/status") as file:
            for line in file:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1])
    except (OSError, ValueError):
        pass
    return 0


async def platform(front, record, peak):
    """Kills the front once it holds more memory than it has."""
    while front.poll() is None:
        held = resident_kb(front.pid)
        peak[0] = max(peak[0], held)
        if held > MEMORY_MB * 1024:
            record(f"the platform kills the front: {held} kB resident, {MEMORY_MB * 1024} kB allowed")
            front.send_signal(signal.SIGKILL)
            return True
        await asyncio.sleep(0.002)
    return False


def headers(lane, timeout):
    return {"X-Txn": f"{random.getrandbits(64):016x}", "X-Lane": lane, "X-Plan": "normal",
            "Cookie": f"block={random.getrandbits(64):016x}", "X-Remaining": timeout,
            "X-IO": "volume=00000003b4d60021,units=2,shard=0,hosts=3"}


async def case(record, processes):
    server = Server("s-0", 0, record)
    loop = asyncio.get_running_loop()
    server.listener = await loop.create_server(lambda: LongBodyConnection(server), "127.0.0.1", 0)
    server.port = server.listener.sockets[0].getsockname()[1]
    discovery = standins.Discovery([server.entry()], record)
    await discovery.start()
    port = standins.free_port()
    config = processes.write("front.json", {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "5f2c9d0a71b3e846", "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512},
        "known": standins.known([server]), "settings": standins.example_settings()})
    front = processes.start("front", [], {"BALANCER_CONFIG": config})
    await standins.wait_until_ready(port)
    peak = [0]
    watch = asyncio.create_task(platform(front, record, peak))
    results = {}

    async def read():
        result = "no answer"
        try:
            client = await standins.Client.connect(port)
            answer = await client.request("GET", "/api", headers("form-read", "750m"))
            client.close()
            if answer is not None:
                result = str(answer.status)
        except OSError as error:
            result = type(error).__name__
        results[result] = results.get(result, 0) + 1

    async def long_write():
        await asyncio.sleep(LONG_BODY_AT)
        client = await standins.Client.connect(port)
        fields = headers("form-submit", "1200m")
        head = f"PUT /api HTTP/1.1\r\nHost: api.internal\r\nContent-Length: {LONG_BODY}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        record(f"client sends PUT {fields['X-Txn']} with a body of {LONG_BODY} bytes")
        try:
            client.writer.write(head.encode() + b"\r\n")
            sent, started, piece = 0, time.monotonic(), bytes(64 * 1024)
            while sent < LONG_BODY:
                client.writer.write(piece)
                await client.writer.drain()
                sent += len(piece)
                await asyncio.sleep(max(0.0, started + sent / LONG_BODY_BYTES_PER_SECOND - time.monotonic()))
            answer = await asyncio.wait_for(client.receive(), 5.0)
            record(f"client got {answer.status if answer else 'no answer'} to the long PUT")
        except (OSError, asyncio.TimeoutError) as error:
            record(f"client got no answer to the long PUT: {error!r}")

    tasks = [asyncio.create_task(long_write())] if TROUBLE else []
    end = loop.time() + SECONDS
    while loop.time() < end and front.poll() is None:
        tasks.append(asyncio.create_task(read()))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.gather(*tasks, return_exceptions=True)
    killed = watch.done() and watch.result()
    watch.cancel()
    record(f"totals: peak {peak[0]} kB of {MEMORY_MB * 1024} kB, killed {killed}, reads {results}")
    if front.poll() is not None and not killed:
        raise CannotRun("the front has ended by itself")
    if results.get("200", 0) < 50:
        raise CannotRun("too little was served")
    if killed:
        record("BROKEN: the front was killed for memory")
    return BROKEN if killed else HELD


standins.run(os.path.join(HERE, "record.txt"), case)
