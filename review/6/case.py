"""A chunk server in the other building sends a second copy of some answers; see claim.txt."""

import asyncio
import random
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from standins import (  # noqa: E402
    BROKEN, HELD, HOST, CannotRun, Client, Discovery, base_settings, free_port, front_config, instance, main,
    platform_head, read_body, read_head, trouble, wait_ready,
)
import json  # noqa: E402
import socket  # noqa: E402

# One way between the two buildings: the pages give 1.4 to 2.6 ms.
ONE_WAY_S = 0.0020
# How long after an answer its second copy is sent: "some milliseconds late".
COPY_AFTER_S = 0.003
# The share of the answers that are sent twice: "some".
COPY_SHARE = 0.05
# The work of a read; the pages give 13 to 21 ms in the mean.
WORK_S = 0.015
REQUESTS_PER_S = 120
LENGTH_S = 40


class DelayLine(threading.Thread):
    """Passes the bytes of one direction of a connection on after ONE_WAY_S, as a network path does."""

    def __init__(self, source, sink):
        super().__init__(daemon=True)
        self.source, self.sink = source, sink
        self.pending = []
        self.ready = threading.Condition()

    def run(self):
        threading.Thread(target=self.deliver, daemon=True).start()
        while True:
            try:
                data = self.source.recv(65536)
            except OSError:
                data = b""
            with self.ready:
                self.pending.append((time.monotonic() + ONE_WAY_S, data))
                self.ready.notify()
            if not data:
                return

    def deliver(self):
        while True:
            with self.ready:
                while not self.pending:
                    self.ready.wait()
                due, data = self.pending.pop(0)
            time.sleep(max(0.0, due - time.monotonic()))
            try:
                if not data:
                    self.sink.shutdown(socket.SHUT_WR)
                    return
                self.sink.sendall(data)
            except OSError:
                return


class PathBetweenBuildings:
    """A TCP proxy that delays each direction by ONE_WAY_S and changes nothing else."""

    def __init__(self, target):
        self.target = target
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection((HOST, self.target))
            except OSError:
                return
            for end in (near, far):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            DelayLine(near, far).start()
            DelayLine(far, near).start()


class ChunkServer:
    """Answers each request once; sends some answers a second time if nothing else waits on the connection."""

    def __init__(self, record, name, draw):
        self.record, self.name, self.draw = record, name, draw
        self.copies = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        following = asyncio.ensure_future(read_head(reader))
        try:
            while True:
                found = await following
                if found is None:
                    return
                await read_body(reader, found[1])
                txn = dict(found[1])["x-txn"]
                await asyncio.sleep(WORK_S)
                body = f"made by {self.name} for {txn}".encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                writer.write(answer)
                await writer.drain()
                self.record(f"{self.name} ran {txn} and answered")
                following = asyncio.ensure_future(read_head(reader))
                if trouble() and self.draw.random() < COPY_SHARE:
                    await asyncio.sleep(COPY_AFTER_S)
                    # Whatever has reached this machine by now is read first.
                    for _ in range(4):
                        await asyncio.sleep(0)
                    if following.done():
                        continue
                    writer.write(answer)
                    await writer.drain()
                    self.copies += 1
                    self.record(f"{self.name} sent a second copy of the answer to {txn}")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            following.cancel()
            writer.close()


async def case(record, processes):
    draw = random.Random(20)
    servers = [ChunkServer(record, f"s-{cell}", random.Random(cell)) for cell in range(2)]
    for server in servers:
        await server.start()
    # The front is in building a; the second chunk server is in building b.
    far = PathBetweenBuildings(servers[1].port)
    instances = [
        instance("s-0", servers[0].port, 0, "edificio-a"),
        instance("s-1", far.port, 1, "edificio-b"),
    ]
    discovery = Discovery(record, instances)
    await discovery.start()
    listen = free_port()
    config = processes.folder / "n0.json"
    config.write_text(json.dumps(front_config("n0", listen, instances, base_settings(), discovery.port)))
    processes.start("n0", env={"BALANCER_CONFIG": str(config)})
    await wait_ready(listen)

    wrong, served, other = [], 0, 0
    idle, tasks = [], []

    async def one(number):
        nonlocal served, other
        client = idle.pop() if idle else Client(listen)
        txn = f"{draw.getrandbits(64):016x}"
        shard = number % 2
        head = platform_head("GET", txn, "form-read", "normal", f"{draw.getrandbits(64):016x}", 750,
                             f"{0x3b4d60021 + number % 8:016x}", 1, shard, 1)
        record(f"client sends {txn} for shard {shard}")
        try:
            answer = await asyncio.wait_for(client.request(head), 3.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            record(f"client got no answer to {txn}: {type(error).__name__}")
            client.close()
            other += 1
            return
        record(f"client got {answer.status} to {txn}: {answer.body.decode(errors='replace')}")
        idle.append(client)
        if answer.status != 200:
            other += 1
            return
        served += 1
        if answer.body.decode(errors="replace") not in [f"made by {server.name} for {txn}" for server in servers]:
            wrong.append((txn, answer.body.decode(errors="replace")))

    until = time.monotonic() + LENGTH_S
    number = 0
    while time.monotonic() < until:
        tasks.append(asyncio.ensure_future(one(number)))
        number += 1
        await asyncio.sleep(draw.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)
    for client in idle:
        client.close()
    copies = sum(server.copies for server in servers)
    record.say(f"{number} requests, {served} served, {other} refused or failed, {copies} second copies, "
               f"{len(wrong)} served with the answer made for another request")
    for txn, body in wrong[:5]:
        record.say(f"  {txn} was served with: {body}")
    if served < number / 2 or (trouble() and copies < 10):
        raise CannotRun("too few requests or copies for a verdict")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    main(case, HERE)
