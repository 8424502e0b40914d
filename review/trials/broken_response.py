"""Trial, no case: a backend breaks off a long response; safe requests that were
sent behind it on the connection are dropped, though sound backends ran them.

    python3 review/trials/broken_response.py [SHARE [BYTES]]
"""

import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from mesh import *  # noqa: E402,F403

SHARE = float(sys.argv[1]) if len(sys.argv) > 1 else 0.02  # garble: share .5, x .02
BYTES = int(sys.argv[2]) if len(sys.argv) > 2 else 100000
DEPTH = 6  # requests that a client sends one behind the other
HOST = "view.example"


class Garbling(Backend):
    share = 0.0
    broken = set()

    async def _answer(self, reader, writer, head, body):
        ident = head[1].get((P + "Request-Id").lower())
        if ident is None:
            await super()._answer(reader, writer, head, body)
            return
        self.runs.append((time.monotonic(), ident))
        await asyncio.sleep(0.05)
        if random.random() < self.share:
            self.broken.add(ident)
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\n%sRequest-Id: %s\r\n%sResponse-Seal: s\r\n"
                    "Content-Length: %d\r\n\r\n" % (P, ident, P, BYTES)
                ).encode()
                + b"x" * (BYTES * 3 // 4)
            )
            await writer.drain()
            raise ConnectionError
        self.write_ok(writer, ident, b"x" * BYTES)


async def client(mesh, machine, end, unanswered):
    writer = None
    sent = 0
    while time.monotonic() < end:
        ids = [mesh.new_id() for _ in range(DEPTH)]
        done = 0
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(
                    *machine.at(mesh.ports["outbound"]), limit=1 << 20
                )
                kept = False
            for i in ids:
                writer.write(
                    (
                        "GET /view/p HTTP/1.1\r\nHost: %s\r\n%sRequest-Id: %s\r\n"
                        "%sDeadline-Ms: 2000\r\n\r\n" % (HOST, P, i, P)
                    ).encode()
                )
            sent += DEPTH
            for _ in ids:
                r = await asyncio.wait_for(read_response(reader), 3)
                if r is None or not r.complete:
                    raise ConnectionResetError
                done += 1
                kept = True
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            if writer is not None:
                writer.close()
                if kept:
                    unanswered += ids[done:]
            writer = None
        await asyncio.sleep(0.05)
    if writer is not None:
        writer.close()
    return sent


async def case(mesh):
    for m in mesh.cores:
        await mesh.start_core(m)
    for m in mesh.sides:
        await mesh.start_side(m)
        m.backend = Garbling(mesh, m, "i-%08x" % random.getrandbits(32))
        await m.backend.start()
    if await mesh.replace(mesh.config(3, [mesh.route("view", HOST, "/view/", "safe", "alpha")]), 0) != 200:
        raise CannotRun("the configuration was not accepted")
    await mesh.wait_ready()
    await asyncio.sleep(3.5)
    for m in mesh.sides[: len(mesh.sides) // 2]:
        m.backend.share = SHARE
    unanswered = []
    end = time.monotonic() + 5.5
    sent = await asyncio.gather(
        *[client(mesh, m, end, unanswered) for m in mesh.sides for _ in range(3)]
    )
    ran = {r[1] for m in mesh.sides for r in m.backend.runs}
    lost = [i for i in unanswered if i in ran and i not in Garbling.broken]
    print(
        "%d requests, %d broken off by backends; passed on to a sound backend and unanswered: %d"
        % (sum(sent), len(Garbling.broken), len(lost))
    )
    return len(lost) <= 3


if __name__ == "__main__":
    sys.exit(run_case(case, tempfile.mkdtemp(prefix="trial-"), sides=(("alpha", 4),)))
