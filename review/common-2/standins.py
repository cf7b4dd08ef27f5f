"""Stand-ins that the cases of the second review share: clients, chunk servers, discovery, a front's process.

Everything listens on 127.0.0.1 and on ports that the system picks. Nothing here depends on the kind of machine.
"""

import asyncio
import copy
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


def trouble():
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt` of the case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        try:
            print(text, flush=True)
        except OSError:
            pass  # nobody reads the output; the record has it


def free_port():
    """Returns a port of 127.0.0.1 that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def run_command():
    """Returns the command `run` of the deploy file."""
    text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    found = re.search(r'^run\s*=\s*"([^"]+)"', text, re.MULTILINE)
    if not found:
        raise CannotRun("the deploy file has no run")
    return found.group(1)


def base_settings():
    """Returns a copy of the settings of the example configuration, those of a small deployment."""
    text = (ROOT / "examples" / "front.json").read_text(encoding="utf-8")
    return copy.deepcopy(json.loads(text)["settings"])


def instance(name, port, cell, zone, lifecycle="Ready", started_at_ms=0):
    """Returns an entry of discovery's list."""
    return {
        "instanceId": name,
        "hostPort": f"{HOST}:{port}",
        "zone": zone,
        "machineType": "standard-1c",
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_at_ms,
    }


class Processes:
    """The processes that a case has started, and its temporary folder; `close` ends and removes all of them."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="tulipbridge-review-"))
        self.started = []
        self.extra_pids = set()

    def start(self, name, arguments="", env=None):
        """Starts the deploy file's `run`, with arguments behind it, as the platform starts it."""
        state = self.folder / f"state-{name}"
        state.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environment["TMPDIR"] = str(state)
        environment.update(env or {})
        log = open(self.folder / f"{name}.log", "ab")
        if not (ROOT / "target" / "release" / "tulipbridge").exists():
            raise CannotRun("the program is not built")
        process = subprocess.Popen(
            ["/bin/sh", "-c", f"{run_command()} {arguments}".strip()],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        log.close()
        self.started.append(process)
        self.record(f"start {name}: {run_command()} {arguments} pid {process.pid}")
        return process

    def log_of(self, name):
        path = self.folder / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def close(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
        for process in self.started:
            process.wait()
        for pid in self.extra_pids:
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                self.record(f"log of {path.stem}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def front_config(name, listen, instances, settings, discovery=None, console=None, **more):
    """Returns the configuration of a front as the platform writes it."""
    config = {
        "name": name,
        "listen": f"{HOST}:{listen}",
        "seed": "5f2c9d0a71b3e846",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": instances},
        "settings": settings,
    }
    if discovery is not None:
        config["discovery"] = f"{HOST}:{discovery}"
    if console is not None:
        config["console"] = f"{HOST}:{console}"
    config.update(more)
    return config


class Message:
    """A parsed HTTP/1.1 message."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        for key, value in self.headers:
            if key == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Reads a head. Returns its first line and headers; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("half a head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip().lower(), value.strip()))
    return lines[0], headers


async def read_body(reader, headers, is_response=False, no_body=False):
    """Reads the body that the headers announce. Raises an error if it is not whole."""
    fields = dict(headers)
    if no_body:
        return b""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if is_response:
        return await reader.read(-1)
    return b""


class Client:
    """A client's connection to a front: one request at a time, kept between requests."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def request(self, head, body=b"", no_body=False):
        """Sends a request and returns the whole answer. `head` lacks the blank line at its end."""
        if self.writer is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.writer.write(head.encode("latin-1") + b"\r\n\r\n" + body)
        await self.writer.drain()
        while True:
            found = await read_head(self.reader)
            if found is None:
                self.close()
                raise ConnectionResetError("closed with no answer")
            first, headers = found
            status = int(first.split(" ")[1])
            if status >= 200:
                break
        payload = await read_body(self.reader, headers, True, no_body or status in (204, 304))
        answer = Message(first, headers, payload)
        if "close" in (answer.header("connection") or "").lower():
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def wait_ready(port, within=15.0):
    """Waits until a front answers its readiness check with 200."""
    until = time.monotonic() + within
    while time.monotonic() < until:
        client = Client(port)
        try:
            answer = await asyncio.wait_for(
                client.request("GET /health/ready HTTP/1.1\r\nHost: api.internal"), 2.0)
            if answer.status == 200:
                return
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            client.close()
        await asyncio.sleep(0.05)
    raise CannotRun("the front is not ready")


def platform_head(method, txn, lane, plan, block, remaining_ms, volume, units, shard, hosts,
                  length=None, key=None):
    """Returns the head of a request of the platform's protocol."""
    lines = [
        f"{method} /api HTTP/1.1", "Host: api.internal", f"X-Txn: {txn}", f"X-Lane: {lane}",
        f"X-Plan: {plan}", f"Cookie: block={block}", f"X-Remaining: {remaining_ms}m",
        f"X-IO: volume={volume},units={units},shard={shard},hosts={hosts}",
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if key is not None:
        lines.append(f"Idempotency-Key: {key}")
    return "\r\n".join(lines)


class Discovery:
    """Discovery where it is asked: the whole list, or a watch with an empty line every 2 s."""

    def __init__(self, record, instances):
        self.record = record
        self.generation = 1
        self.entries = {entry["instanceId"]: entry for entry in instances}
        self.watches = []
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def message(self, reset, entries):
        return json.dumps({"generation": self.generation, "reset": reset, "instances": entries})

    async def serve(self, reader, writer):
        queue = None
        try:
            found = await read_head(reader)
            if found is None:
                return
            target = found[0].split(" ")[1]
            whole = self.message(True, list(self.entries.values()))
            self.record(f"discovery asked {target}")
            if "watch=1" not in target:
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(whole)}\r\n\r\n{whole}".encode())
                await writer.drain()
                return
            queue = asyncio.Queue()
            self.watches.append(queue)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = whole + "\n"
            while True:
                writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
                await writer.drain()
                try:
                    line = await asyncio.wait_for(queue.get(), 2.0)
                except asyncio.TimeoutError:
                    line = "\n"
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if queue in self.watches:
                self.watches.remove(queue)
            writer.close()

    def change(self, *entries):
        """Publishes changed entries on every open watch."""
        self.generation += 1
        for entry in entries:
            if entry["lifecycle"] == "Gone":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
        line = self.message(False, list(entries)) + "\n"
        self.record(f"discovery tells {line.strip()}")
        for queue in self.watches:
            queue.put_nowait(line)


def reset_on_close(writer):
    """Makes the close of a connection a reset, as when its process dies."""
    import struct
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def main(case, folder):
    """Runs `case(record, processes)`, which returns HELD or BROKEN, and exits with its code."""
    record = Record(folder)
    processes = None
    # A script that is ended from outside still ends what it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    code = COULD_NOT_RUN
    try:
        processes = Processes(record)
        code = asyncio.run(asyncio.wait_for(case(record, processes), 112))
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        if processes is not None:
            processes.close()
        record.say({HELD: "HELD", BROKEN: "BROKEN", COULD_NOT_RUN: "COULD NOT RUN"}[code]
                   + ("" if trouble() else " (without the disruption)"))
    sys.exit(code)
