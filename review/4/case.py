"""A backend starts again under its id after the time of day went back; later it
drains."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from mesh import *  # noqa: E402,F403

HOST = "view.example"
STEP_MS = 2000  # clock_step: x = 2000, how = ahead, for_s = 5
STEP_S = 5.0
DRAIN_S = 2.5  # `drain_ms`
SERVES_ON_S = 8.0  # after the acknowledgement; "at times many seconds"


class Clock:
    """The time of day of one machine, as its backend sees it."""

    def __init__(self):
        self.offset_ms = 0

    def now_ms(self):
        return int(time.time() * 1000) + self.offset_ms


async def start_backend(mesh, machine, ident, clock):
    b = Backend(mesh, machine, ident)
    b.born = clock.now_ms()
    b.work_s = 0.03
    machine.backend = b
    await b.start()
    mesh.record.add("backend %s: starts, born %d" % (ident, b.born))
    return b


async def client(mesh, machine, end):
    while time.monotonic() < end:
        await mesh.request(machine, HOST, "GET", "/view/p")
        await asyncio.sleep(0.3)


async def case(mesh):
    for m in mesh.cores:
        await mesh.start_core(m)
    for m in mesh.sides:
        await mesh.start_side(m)
    first = mesh.sides[0]
    clock = Clock()
    right = Clock()
    old = await start_backend(mesh, first, "i-%08x" % random.getrandbits(32), right)
    for m in mesh.sides[1:]:
        await start_backend(mesh, m, "i-%08x" % random.getrandbits(32), right)
    routes = [mesh.route("view", HOST, "/view/", "safe", "proofdesk")]
    if await mesh.replace(mesh.config(3, routes), 0) != 200:
        raise CannotRun("the configuration was not accepted")
    await mesh.wait_ready()
    for m in mesh.sides:
        await mesh.wait_served(m, HOST, "GET", "/view/p")
    end = time.monotonic() + 26
    clients = [asyncio.ensure_future(client(mesh, m, end)) for m in mesh.sides]
    await asyncio.sleep(1)

    begin = time.monotonic()

    async def until(s):
        await asyncio.sleep(max(0, begin + s - time.monotonic()))

    if TROUBLE:
        clock.offset_ms = STEP_MS
        mesh.record.add("disruption: the time of day of %s jumps ahead by 2 s" % first.name)
    # Planned work: the backend is replaced. The old one drains and ends, the new
    # one has an id of its own.
    await until(STEP_S - 0.4 - DRAIN_S - 0.5)
    old.state = "draining"
    if not await old.beat():
        raise CannotRun("the drain of the first backend was not acknowledged")
    old.leaving = True
    await until(STEP_S - 0.5)
    await old.deregister()
    await old.crash()
    await until(STEP_S - 0.4)
    ident = "i-%08x" % random.getrandbits(32)
    await start_backend(mesh, first, ident, clock)
    await until(STEP_S)
    if TROUBLE:
        clock.offset_ms = 0
        mesh.record.add("the time of day of %s jumps back" % first.name)
    # It crashes 1.4 s after its start, and starts again under its id.
    await until(STEP_S + 1.0)
    await first.backend.crash()
    b = await start_backend(mesh, first, ident, clock)

    # Calm for `contact_ms` and more; then planned work.
    await until(STEP_S + 6.0)
    b.state = "draining"
    acked = None
    for _ in range(4):
        if await b.beat():
            acked = time.monotonic()
            break
        await asyncio.sleep(0.5)
    b.leaving = True
    if acked is None:
        raise CannotRun("the drain was not acknowledged")
    mesh.record.add("backend %s: draining is acknowledged" % ident)
    await asyncio.sleep(SERVES_ON_S)
    late = [r[1] for r in b.runs if r[0] > acked + DRAIN_S]
    await b.crash()
    for t in clients:
        t.cancel()
    mesh.record.add(
        "requests that reached backend %s later than 2.5 s after the acknowledgement: %d; "
        "before it: %d" % (ident, len(late), len([r for r in b.runs if r[0] < acked]))
    )
    return not late


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER, sides=(("proofdesk", 4),)))
