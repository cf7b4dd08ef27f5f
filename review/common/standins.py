"""Stand-ins and helpers that the cases share: front processes, chunk servers, discovery, clients.

Everything listens on loopback addresses at free ports. Only the standard library is used.
"""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case cannot run; says nothing about the rule."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def deploy_command():
    """Returns the command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        found = re.search(r'^run = "(.*)"$', file.read(), re.M)
    if not found:
        raise CannotRun("deploy/balancer.toml has no 'run'")
    return found.group(1)


def example_settings():
    """Returns a copy of the settings of the configuration under deploy/."""
    with open(os.path.join(ROOT, "deploy", "object.json")) as file:
        return json.load(file)["settings"]


class Record:
    """Writes what happens to the record of a case, with the time since the start in seconds."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")


class Processes:
    """The processes that a case has started. All are ended at its end."""

    def __init__(self, record):
        self.record = record
        self.started = []
        self.folder = tempfile.TemporaryDirectory(prefix="review-")

    def start(self, name, arguments, environment=None):
        """Starts the deploy file's command with further arguments; returns the process."""
        command = deploy_command() + "".join(f" '{argument}'" for argument in arguments)
        variables = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        variables["TMPDIR"] = self.folder.name
        variables.update(environment or {})
        log = open(os.path.join(self.folder.name, f"{name}.log"), "a")
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=variables,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        process.log = log.name
        self.started.append(process)
        self.record(f"start {name}: pid {process.pid}: {command}")
        return process

    def write(self, name, value):
        """Writes a JSON file in the temporary folder and returns its path."""
        path = os.path.join(self.folder.name, name)
        with open(path + ".next", "w") as file:
            json.dump(value, file)
        os.rename(path + ".next", path)
        return path

    def end_all(self):
        for process in self.started:
            if process.poll() is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        process.send_signal(number)
                    except ProcessLookupError:
                        pass
            process.wait()
        self.folder.cleanup()


async def wait_until_ready(port, within=15.0):
    """Waits until the front at `port` answers its readiness check with 200."""
    deadline = time.monotonic() + within
    while time.monotonic() < deadline:
        try:
            client = await Client.connect(port)
            answer = await client.request("GET", "/health/ready", timeout=1.0)
            client.close()
            if answer and answer.status == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.05)
    raise CannotRun("the front is not ready")


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


def parse_head(head):
    """Returns the words of the first line and the headers, with names in lower case."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


class Client:
    """A client's connection: one request at a time."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.usable = True

    @staticmethod
    async def connect(port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Client(reader, writer)

    def send(self, method, path, headers=None, body=b""):
        lines = [f"{method} {path} HTTP/1.1", "Host: api.internal"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method in ("PUT", "POST"):
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines + ["", ""]).encode() + body)

    async def receive(self, is_head=False):
        """Reads one answer. Returns None if the connection ends before its head is complete."""
        try:
            while True:
                head = await self.reader.readuntil(b"\r\n\r\n")
                first, headers = parse_head(head[:-4])
                if not first[1].startswith("1"):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.usable = False
            return None
        if headers.get("connection", "").lower() == "close":
            self.usable = False
        body, complete = b"", True
        try:
            if is_head or first[1] in ("204", "304"):
                pass
            elif "content-length" in headers:
                body = await self.reader.readexactly(int(headers["content-length"]))
            elif headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    body += (await self.reader.readexactly(size + 2))[:-2]
                    if size == 0:
                        break
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            body += getattr(error, "partial", b"")
            complete = False
            self.usable = False
        return Answer(int(first[1]), headers, body, complete)

    async def request(self, method, path, headers=None, body=b"", timeout=10.0):
        """Sends a request and returns its answer; None if there was none."""
        self.send(method, path, headers, body)
        try:
            return await asyncio.wait_for(self.receive(method == "HEAD"), timeout)
        except asyncio.TimeoutError:
            self.usable = False
            return None

    def close(self):
        self.writer.close()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def txn(self):
        return self.headers.get("x-txn", "")


class ServerConnection(asyncio.Protocol):
    """A connection at a chunk server. The network delays all bytes by `one_way` in each direction."""

    def __init__(self, server):
        self.server = server
        self.buffer = b""
        self.bytes_arrived = 0
        self.closed = False

    def connection_made(self, transport):
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)

    def connection_lost(self, _error):
        self.closed = True
        self.server.connections.discard(self)

    def data_received(self, data):
        if self.server.one_way > 0:
            asyncio.get_running_loop().call_later(self.server.one_way, self.arrive, data)
        else:
            self.arrive(data)

    def arrive(self, data):
        """Handles bytes that have reached the chunk server."""
        self.bytes_arrived += len(data)
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            first, headers = parse_head(self.buffer[:end])
            length = int(headers.get("content-length", "0"))
            if len(self.buffer) < end + 4 + length:
                return
            body = self.buffer[end + 4:end + 4 + length]
            self.buffer = self.buffer[end + 4 + length:]
            self.server.handle(self, Request(first[0], first[1], headers, body))

    def send(self, data):
        """Sends bytes, which reach the front after the network's delay."""
        if self.server.one_way > 0:
            asyncio.get_running_loop().call_later(self.server.one_way, self.leave, data)
        else:
            self.leave(data)

    def leave(self, data):
        if not self.closed:
            self.transport.write(data)

    def reset(self):
        """Ends the connection with a reset."""
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.transport.abort()
        self.closed = True


def response(status, body=b"", headers=None, length=None):
    """Returns the bytes of a response."""
    reasons = {200: "OK", 204: "No Content", 206: "Partial Content", 404: "Not Found", 400: "Bad Request",
               416: "Range Not Satisfiable", 500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join(lines + ["", ""]).encode() + body


class ChunkServer:
    """The base of the chunk servers: subclasses implement `handle`."""

    def __init__(self, name, cell, record, one_way=0.0, zone="edificio-a"):
        self.name = name
        self.cell = cell
        self.record = record
        self.one_way = one_way
        self.zone = zone
        self.connections = set()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.record(f"chunk server {self.name}: cell {self.cell} at port {self.port}")

    def entry(self, lifecycle="Ready"):
        """Returns the server's entry in discovery's list."""
        return {"instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": self.zone,
                "machineType": "standard-1c", "cell": self.cell, "lifecycle": lifecycle,
                "weight": 1.0, "startedAtMs": 0}

    def handle(self, connection, request):
        raise NotImplementedError


class Discovery:
    """Discovery: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, entries, record):
        self.entries = entries
        self.record = record
        self.generation = 1

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.record(f"discovery at port {self.port}")

    def whole_list(self):
        return json.dumps({"generation": self.generation, "reset": True, "instances": self.entries})

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            first, _ = parse_head(head[:-4])
            if "watch=1" not in first[1]:
                writer.write(response(200, self.whole_list().encode()))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = self.whole_list() + "\n"
            while True:
                writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(2.0)
                line = "\n"
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def known(servers):
    """Returns the list of chunk servers that a front's configuration holds."""
    return {"generation": 0, "reset": True, "instances": [server.entry() for server in servers]}


def run(path, case):
    """Runs `case(record, processes)`, an async function that returns the exit code, with its record at `path`."""
    record = Record(path)
    processes = Processes(record)
    # A script that is told to end still ends the processes that it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    try:
        code = asyncio.run(asyncio.wait_for(case(record, processes), 110))
    except CannotRun as error:
        record(f"cannot run: {error}")
        code = NOT_RUN
    except asyncio.TimeoutError:
        record("cannot run: the case took too long")
        code = NOT_RUN
    finally:
        processes.end_all()
    record(f"exit {code}")
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code])
    sys.exit(code)
