"""Trial, no case: a client sends many safe requests one behind the other and
closes its connection 0.3 s later.

    python3 review/trials/pipelined_close.py [REQUESTS]
"""

import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from mesh import *  # noqa: E402,F403

REQUESTS = int(sys.argv[1]) if len(sys.argv) > 1 else 40
HOST = "view.example"
WORK_S = 1.5


class Dropping(Backend):
    """Drops a request when its connection closes."""

    async def _answer(self, reader, writer, head, body):
        ident = head[1].get((P + "Request-Id").lower())
        if ident is None:
            await super()._answer(reader, writer, head, body)
            return
        run = [time.monotonic(), ident, None]
        self.runs.append(run)
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([closed], timeout=WORK_S)
        run[2] = time.monotonic()
        if closed.done():
            closed.exception()
            raise ConnectionError
        closed.cancel()
        await asyncio.wait([closed])
        self.write_ok(writer, ident)


async def case(mesh):
    for m in mesh.cores:
        await mesh.start_core(m)
    for m in mesh.sides:
        await mesh.start_side(m)
        m.backend = Dropping(mesh, m, "i-%08x" % random.getrandbits(32))
        await m.backend.start()
    route = mesh.route("view", HOST, "/view/", "safe", "alpha", timeout_ms=4000, target_latency_ms=2500)
    if await mesh.replace(mesh.config(3, [route]), 0) != 200:
        raise CannotRun("the configuration was not accepted")
    await mesh.wait_ready()
    await asyncio.sleep(3.5)
    _, writer = await asyncio.open_connection(*mesh.sides[0].at(mesh.ports["outbound"]))
    for _ in range(REQUESTS):
        writer.write(
            (
                "GET /view/p HTTP/1.1\r\nHost: %s\r\n%sRequest-Id: %s\r\n%sDeadline-Ms: 4000\r\n\r\n"
                % (HOST, P, mesh.new_id(), P)
            ).encode()
        )
    await asyncio.sleep(0.3)
    writer.close()
    closed = time.monotonic()
    await asyncio.sleep(5)
    runs = [r for m in mesh.sides for r in m.backend.runs]
    began = sum(r[0] > closed + 0.5 for r in runs)
    at_work = sum((r[2] or closed + 5) > closed + 0.5 for r in runs)
    print(
        "%d requests, %d run; over 0.5 s after the close: %d reached a backend, backends at work on %d"
        % (REQUESTS, len(runs), began, at_work)
    )
    return at_work * 4 <= len(runs)


if __name__ == "__main__":
    sys.exit(run_case(case, tempfile.mkdtemp(prefix="trial-"), sides=(("alpha", 4),)))
