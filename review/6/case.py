"""Long answers to clients that read them over seconds; see claim.txt."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from standins import (  # noqa: E402
    BROKEN, HELD, HOST, CannotRun, Discovery, base_settings, free_port, front_config, instance, main, platform_head,
    read_body, read_head, trouble, wait_ready,
)

# The limits of the front, as the configuration tells them.
MEMORY_MB = 96
DESCRIPTORS = 1024
# Clients hold at most a third of the descriptors for requests.
CLIENTS = DESCRIPTORS // 3
SERVERS = 10
# Ordinary requests and answers hold at most 64 KiB; a front gets up to 200 a second.
BODY = 64 * 1024
RATE = 200
ORDINARY_S = 8.0
# Long answers, of at most 32 MB, in chunks, read over seconds.
LONG_ANSWER = 32 << 20
READ_PER_S = 256 * 1024
# Long bodies, sent at 64 kB a second: how many at a time, and how long.
BODIES = 34
LONG_BODY = 1_230_000
SEND_PER_S = 64_000
TROUBLE_S = 36.0
# A chunk server's work, and how it stands still.
WORK_S = {"PUT": 0.025, "GET": 0.055}
STILL_S = 0.15
STILL_EVERY_S = 5.0


class ChunkServer:
    def __init__(self, record, cell, draw):
        self.record, self.name, self.cell, self.draw = record, f"s-{cell}", cell, draw
        self.goes = asyncio.Event()
        self.goes.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.pauses = asyncio.ensure_future(self.stand_still())

    async def stand_still(self):
        while True:
            await asyncio.sleep(STILL_EVERY_S * (0.5 + self.draw.random()))
            self.goes.clear()
            await asyncio.sleep(STILL_S)
            self.goes.set()

    async def serve(self, reader, writer):
        try:
            while True:
                found = await read_head(reader)
                if found is None:
                    return
                fields = dict(found[1])
                await read_body(reader, found[1])
                method = found[0].split(" ")[0]
                await asyncio.sleep(self.draw.expovariate(1 / WORK_S[method]))
                await self.goes.wait()
                self.record(f"{self.name} ran {method} {fields['x-txn']}")
                if not fields["x-txn"].startswith("f"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY + b"a" * BODY)
                    await writer.drain()
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                for _ in range(LONG_ANSWER // BODY):
                    writer.write(b"%x\r\n%s\r\n" % (BODY, b"a" * BODY))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def memory_of(pid):
    """Returns the memory in kB that the process has of its own: without the pages of its program file."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1])
    return 0


async def case(record, processes):
    draw = random.Random(8)
    servers = [ChunkServer(record, cell, random.Random(cell)) for cell in range(SERVERS)]
    for server in servers:
        await server.start()
    instances = [instance(server.name, server.port, server.cell, "edificio-a") for server in servers]
    discovery = Discovery(record, instances)
    await discovery.start()
    listen = free_port()
    settings = base_settings()
    settings["FamilyInfo"]["Shards"] = SERVERS
    config = processes.folder / "n0.json"
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    config.write_text(json.dumps(front_config("n0", listen, instances, settings, discovery.port, limits=limits)))
    front = processes.start("n0", env={"BALANCER_CONFIG": str(config)})
    await wait_ready(listen)

    limit = MEMORY_MB * 1024
    peaks = {"ordinary": 0, "long": 0}
    phase = "ordinary"
    killed_at = None
    counts = {}

    def count(what):
        counts[what] = counts.get(what, 0) + 1

    async def platform():
        """Kills the front when it is over its memory, as the platform does."""
        nonlocal killed_at
        while front.poll() is None:
            used = memory_of(front.pid)
            peaks[phase] = max(peaks[phase], used)
            if used > limit:
                killed_at = used
                record(f"the front holds {used} kB of {limit} kB: the platform kills it")
                front.kill()
                front.wait()
                return
            await asyncio.sleep(0.01)

    watcher = asyncio.ensure_future(platform())
    idle, busy = [], set()

    async def connect():
        return await asyncio.open_connection(HOST, listen, limit=65536)

    async def ask(reader, writer, method, lane, remaining, txn, shard, body=b""):
        """Sends a request; returns the status and the headers of its answer."""
        block = f"{draw.getrandbits(64):016x}"
        head = platform_head(method, txn, lane, "normal", block, remaining, f"{0x3b4d60021 + draw.randrange(60):016x}",
                             4, shard, 1, len(body) if body else None)
        writer.write(head.encode() + b"\r\n\r\n" + body)
        await writer.drain()
        found = await read_head(reader)
        if found is None:
            raise ConnectionResetError("closed")
        return int(found[0].split(" ")[1]), found[1]

    async def ordinary():
        """One request with an ordinary body or answer, on a connection that is kept."""
        connection = idle.pop(0) if idle else None
        try:
            if connection is None or connection[0].at_eof():
                connection = await connect()
            txn = f"{draw.getrandbits(60):016x}"
            if draw.random() < 0.5:
                answer = ask(*connection, "PUT", "form-submit", 1200, txn, -1, b"q" * BODY)
            else:
                answer = ask(*connection, "GET", "batch-export", 2500, txn, draw.randrange(SERVERS))
            status, headers = await asyncio.wait_for(answer, 5)
            await read_body(connection[0], headers)
            count(("ordinary", status))
            record(f"client got {status} to {txn}")
            idle.append(connection)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            count(("ordinary", type(error).__name__))
            record(f"client got no answer to an ordinary request: {type(error).__name__}")
            if connection is not None:
                connection[1].close()

    async def traffic(seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until and front.poll() is None:
            if len(busy) < CLIENTS:
                task = asyncio.ensure_future(ordinary())
                busy.add(task)
                task.add_done_callback(busy.discard)
            await asyncio.sleep(draw.expovariate(RATE))

    async def long_answer(number):
        """Asks for a long answer and reads it over seconds."""
        connection = None
        try:
            await asyncio.sleep(draw.random() * 3)
            connection = idle.pop(0) if idle else await connect()
            for _ in range(6):
                if connection[0].at_eof():
                    connection = await connect()
                status, headers = await asyncio.wait_for(
                    ask(*connection, "GET", "batch-export", 2500, f"f{draw.getrandbits(60):015x}", number % SERVERS),
                    5)
                count(("long", status))
                if status == 200:
                    break
                await read_body(connection[0], headers)
                await asyncio.sleep(0.5)
            else:
                return
            record(f"long answer {number} has begun")
            while await connection[0].read(READ_PER_S // 10):
                await asyncio.sleep(0.1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            count(("long", type(error).__name__))
            record(f"long answer {number} ended: {type(error).__name__}")
        finally:
            if connection is not None:
                connection[1].close()

    async def long_body(number):
        """Sends a long body over seconds."""
        try:
            reader, writer = await connect()
            head = platform_head("PUT", f"e{draw.getrandbits(60):015x}", "form-submit", "normal", f"{number:016x}", 1200,
                                 f"{0x3b4d60021 + number:016x}", 6, -1, 1, LONG_BODY)
            writer.write(head.encode() + b"\r\n\r\n")
            record(f"long body {number} begins")
            for start in range(0, LONG_BODY, SEND_PER_S // 10):
                writer.write(b"q" * min(SEND_PER_S // 10, LONG_BODY - start))
                await writer.drain()
                await asyncio.sleep(0.1)
            found = await asyncio.wait_for(read_head(reader), 5)
            count(("body", found and found[0].split(" ")[1]))
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            count(("body", type(error).__name__))
            record(f"long body {number} got no answer: {type(error).__name__}")

    await traffic(ORDINARY_S)
    await asyncio.gather(*busy)
    phase = "long"
    if trouble():
        tasks = [asyncio.ensure_future(long_answer(number)) for number in range(CLIENTS - BODIES)]
        tasks += [asyncio.ensure_future(long_body(number)) for number in range(BODIES)]
        until = time.monotonic() + TROUBLE_S
        while time.monotonic() < until and front.poll() is None:
            await asyncio.sleep(0.05)
        if front.poll() is not None:
            await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    else:
        await traffic(TROUBLE_S)
        await asyncio.gather(*busy)
    watcher.cancel()
    for connection in idle:
        connection[1].close()
    record(f"{sorted(counts.items(), key=str)}")
    served = counts.get(("ordinary", 200), 0)
    record.say(f"{served} ordinary requests served; {counts.get(('long', 200), 0)} long answers begun; the front's own "
               f"memory was at most {peaks['ordinary']} kB, then {peaks['long']} kB of {limit} kB"
               + ("; the platform killed it" if killed_at else ""))
    if served < 100:
        raise CannotRun("too few requests for a verdict")
    if killed_at is None and front.poll() is not None:
        raise CannotRun(f"the front ended by itself with code {front.returncode}")
    return BROKEN if killed_at else HELD


if __name__ == "__main__":
    main(case, HERE)
