"""A planned restart while a long answer is on its way; see claim.txt."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from standins import (  # noqa: E402
    BROKEN, HELD, HOST, CannotRun, Client, Discovery, base_settings, free_port, front_config, instance, main,
    platform_head, read_body, read_head, trouble, wait_ready,
)

# A long answer, well under the 32 MB that the pages allow, written over seconds in pieces.
PIECE = 64 * 1024
PIECES = 64
PIECE_EVERY_S = 0.125
# When SIGTERM comes, counted from the first byte of the answers.
SIGTERM_AFTER_S = 1.0
# SIGKILL comes no sooner than the longest deadline (counted as 3 s where it is longer) and 0.7 s after SIGTERM.
SIGKILL_AFTER_S = 15.0
ANSWERS = 6


class ChunkServer:
    def __init__(self, record, name):
        self.record, self.name = record, name
        self.whole, self.cut = 0, 0
        self.begun = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        txn, sent = None, 0
        try:
            while True:
                found = await read_head(reader)
                if found is None:
                    return
                txn, sent = dict(found[1])["x-txn"], 0
                await read_body(reader, found[1])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECE * PIECES))
                self.record(f"{self.name} begins to answer {txn}")
                for number in range(PIECES):
                    writer.write(piece(txn, number))
                    await writer.drain()
                    sent += PIECE
                    self.begun.set()
                    await asyncio.sleep(PIECE_EVERY_S)
                    if reader.at_eof():
                        raise ConnectionResetError("the front closed the connection")
                self.record(f"{self.name} has answered {txn} whole")
                self.whole += 1
                txn = None
        except (OSError, asyncio.IncompleteReadError) as error:
            if txn is not None:
                self.cut += 1
                self.record(f"{self.name}: the front cut off the answer to {txn} after {sent} bytes: {error}")
        finally:
            writer.close()


def piece(txn, number):
    return f"{txn}:{number:06d};".encode().ljust(PIECE, b".")


async def case(record, processes):
    servers = [ChunkServer(record, f"s-{cell}") for cell in range(2)]
    for server in servers:
        await server.start()
    instances = [instance(f"s-{cell}", servers[cell].port, cell, "edificio-a") for cell in range(2)]
    discovery = Discovery(record, instances)
    await discovery.start()
    listen = free_port()
    config = processes.folder / "n0.json"
    settings = base_settings()
    config.write_text(json.dumps(front_config("n0", listen, instances, settings, discovery.port)))
    front = processes.start("n0", env={"BALANCER_CONFIG": str(config)})
    await wait_ready(listen)
    outcomes = {}

    async def read_long(number):
        txn = f"{0xa000000000000000 + number:016x}"
        client = Client(listen)
        head = platform_head("GET", txn, "batch-export", "normal", f"{number + 1:016x}", 2500,
                             f"{0x3b4d60021 + number:016x}", 6, number % 2, 1)
        record(f"client sends {txn}")
        sent_at = record.now()
        try:
            answer = await asyncio.wait_for(client.request(head), 60)
            whole = answer.status == 200 and answer.body == b"".join(piece(txn, n) for n in range(PIECES))
            outcomes[txn] = "whole" if whole else f"status {answer.status}, {len(answer.body)} bytes"
        except asyncio.IncompleteReadError as error:
            outcomes[txn] = f"cut off after {len(error.partial)} of {PIECE * PIECES} bytes"
        except (OSError, asyncio.TimeoutError) as error:
            outcomes[txn] = f"no answer: {type(error).__name__}"
        client.close()
        record(f"client: {txn}, sent at {sent_at:.3f}: {outcomes[txn]}")

    tasks = [asyncio.ensure_future(read_long(number)) for number in range(ANSWERS)]
    await asyncio.gather(*(asyncio.wait_for(server.begun.wait(), 10) for server in servers))
    ended_after = None
    if trouble():
        await asyncio.sleep(SIGTERM_AFTER_S)
        record(f"SIGTERM to the front; SIGKILL would come {SIGKILL_AFTER_S} s later")
        front.send_signal(signal.SIGTERM)
        told = time.monotonic()
        while time.monotonic() - told < SIGKILL_AFTER_S:
            if front.poll() is not None:
                ended_after = time.monotonic() - told
                record(f"the front ended by itself with code {front.returncode}, {ended_after:.2f} s after SIGTERM")
                break
            await asyncio.sleep(0.02)
        else:
            record("SIGKILL to the front")
            front.kill()
    await asyncio.gather(*tasks)
    lost = [txn for txn, outcome in outcomes.items() if outcome != "whole"]
    refused = [txn for txn in lost if outcomes[txn].startswith("status 5")]
    if refused:
        raise CannotRun(f"{len(refused)} requests were refused before the disruption")
    record.say(f"{ANSWERS} requests taken before SIGTERM; {ANSWERS - len(lost)} answered whole, {len(lost)} cut off; "
               f"the front ended "
               + (f"by itself {ended_after:.2f} s after SIGTERM" if ended_after else "not by itself"))
    for txn in lost:
        record.say(f"  {txn}: {outcomes[txn]}")
    return BROKEN if lost and (ended_after is not None or not trouble()) else HELD


if __name__ == "__main__":
    main(case, HERE)
