"""A small mesh for the cases of the review: the project's two programs, started
with the lines `run` of deploy/system.toml on loopback addresses, and stand-ins
for backends, clients, operators and the platform that follow PROTOCOL.md.

Each machine has a loopback address of its own, so that ports are the same on
all machines, as DEPLOY.md says. Everything runs on one asyncio loop.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time

try:
    import tomllib
except ImportError:  # before Python 3.11
    tomllib = None

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
P = "X-Baobabshed-"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PORT_NAMES = (
    "inbound", "app", "ready", "outbound", "announce", "operators", "internal0", "internal1",
)

# Bounds of the site adinkra-proofs.
BOUNDS = {
    "grace_s": 6,
    "budget_window_s": 10,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 64,
}


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


def run_lines():
    """Returns the lines `run` of the deploy file by role."""
    lines = {}
    role = None
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as f:
        text = f.read()
    if tomllib is not None:
        return {k: v["run"] for k, v in tomllib.loads(text)["roles"].items()}
    for line in text.splitlines():
        if line.startswith("[roles."):
            role = line[7:-1]
        elif line.startswith("run = "):
            lines[role] = json.loads(line[6:])
    return lines


def fill(line, values):
    """Fills the placeholders of a line `run`, as DEPLOY.md says."""
    words = []
    for word in shlex.split(line):
        for key, value in values.items():
            word = word.replace("{{" + key + "}}", str(value))
        if "{{" in word:
            raise CannotRun("unknown placeholder in " + word)
        words.append(word)
    return words


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, text):
        self.file.write("%9.3f  %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()

    def close(self):
        self.file.close()


class Response:
    def __init__(self, status, fields, body, complete):
        self.status = status
        self.fields = fields
        self.body = body
        self.complete = complete

    def get(self, name):
        return self.fields.get(name.lower())


async def read_head(reader):
    """Reads a head. Returns its first line and its fields in lower case, or
    None at the end of the connection."""
    raw = b""
    while True:
        line = await reader.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            if raw == b"":
                continue
            break
        raw += line
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


KEPT_BODY_BYTES = 1 << 20


async def read_body(reader, fields, kept_bytes=KEPT_BODY_BYTES):
    """Reads a body with a length or in chunks. One that is longer than
    kept_bytes is not kept."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b"\n", b""):
                    pass
                return body
            while size > 0:
                piece = await reader.read(min(size, KEPT_BODY_BYTES))
                if not piece:
                    raise asyncio.IncompleteReadError(b"", size)
                size -= len(piece)
                if len(body) <= kept_bytes:
                    body += piece
            await reader.readexactly(2)
    left = int(fields.get("content-length", "0"))
    if left <= kept_bytes:
        return await reader.readexactly(left)
    while left > 0:
        piece = await reader.read(min(left, KEPT_BODY_BYTES))
        if not piece:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(piece)
    return b""


async def read_response(reader):
    """Reads a response; None if the connection ends before its head."""
    head = await read_head(reader)
    if head is None:
        return None
    status = int(head[0].split(" ")[1])
    fields = head[1]
    try:
        if "content-length" in fields or "transfer-encoding" in fields:
            body = await read_body(reader, fields, 1 << 26)
        elif status in (204, 304):
            body = b""
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ValueError, ConnectionError):
        return Response(status, fields, b"", False)
    return Response(status, fields, body, True)


async def call(address, method, target, fields, body=b"", timeout=5.0):
    """Sends one request on a new connection. Returns the response, or the text
    'refused', 'no response' or 'closed'."""
    ip, port = address
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port), 1.0
        )
        head = "%s %s HTTP/1.1\r\n" % (method, target)
        all_fields = {"Host": "%s:%d" % address}
        all_fields.update(fields)
        if body or method == "POST":
            all_fields["Content-Length"] = str(len(body))
        for name, value in all_fields.items():
            head += "%s: %s\r\n" % (name, value)
        writer.write((head + "\r\n").encode("latin-1") + body)
        r = await asyncio.wait_for(read_response(reader), timeout)
        return "closed" if r is None else r
    except (ConnectionRefusedError, OSError) as e:
        return "refused" if isinstance(e, ConnectionRefusedError) else "closed"
    except asyncio.TimeoutError:
        return "no response"
    finally:
        if writer is not None:
            writer.close()


class Process:
    """One of the project's programs on one machine."""

    def __init__(self, mesh, name, words):
        self.mesh = mesh
        self.name = name
        self.words = words
        self.process = None

    async def start(self):
        log = open(os.path.join(self.mesh.folder, self.name + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env.update(self.mesh.extra_env)
        self.process = await asyncio.create_subprocess_exec(
            *self.words, cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        self.mesh.record.add("platform: starts %s" % self.name)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.mesh.record.add(
                "platform: %s to %s" % (signal.Signals(number).name, self.name)
            )

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    @property
    def ended(self):
        return self.process is not None and self.process.returncode is not None

    def log(self):
        path = os.path.join(self.mesh.folder, self.name + ".log")
        with open(path, encoding="utf-8", errors="replace") as f:
            return f.read()


class Machine:
    def __init__(self, ip, name, zone, service=None):
        self.ip = ip
        self.name = name
        self.zone = zone
        self.service = service
        self.process = None
        self.backend = None

    def at(self, port):
        return (self.ip, port)


class Backend:
    """A sound backend. `behave`, if set, gets each request before it runs and
    may return an awaitable that answers in place of the usual one."""

    def __init__(self, mesh, machine, ident, slots=6):
        self.mesh = mesh
        self.machine = machine
        self.id = ident
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.leaving = False
        self.server = None
        self.beats = None
        self.work_s = 0.05
        self.runs = []  # (time, id, method, target, fields, body)
        self.behave = None
        self.tasks = set()
        self.beat_s = 1.5

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.machine.ip, self.mesh.ports["app"], limit=KEPT_BODY_BYTES
        )
        self.beats = asyncio.ensure_future(self._beat_always())

    async def crash(self):
        """Ends at once, with all its connections."""
        if self.beats is not None:
            self.beats.cancel()
        self.server.close()
        for t in list(self.tasks):
            t.cancel()
        await asyncio.sleep(0)
        self.mesh.record.add("backend %s: ends" % self.id)

    def announcement(self, state=None):
        self.seq += 1
        return {
            "address": "%s:%d" % (self.machine.ip, self.mesh.ports["app"]),
            "born": self.born,
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "max_concurrency": self.slots,
            },
            "status": {
                "state": state or self.state,
                "seq": self.seq,
                "warmup_left_ms": 0,
            },
        }

    async def beat(self):
        a = self.announcement()
        r = await call(
            self.machine.at(self.mesh.ports["announce"]), "POST",
            "/instances/%s/heartbeat" % self.id,
            {"Content-Type": "application/json"},
            json.dumps(a).encode(), 1.0,
        )
        ok = isinstance(r, Response) and 200 <= r.status < 300
        self.mesh.record.add(
            "backend %s: heartbeat %s seq %d born %d -> %s"
            % (self.id, a["status"]["state"], a["status"]["seq"], a["born"],
               r.status if isinstance(r, Response) else r)
        )
        return ok

    async def _beat_always(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.beat_s)

    async def deregister(self):
        body = {"born": self.born, "address": "%s:%d" % (self.machine.ip, self.mesh.ports["app"])}
        r = await call(
            self.machine.at(self.mesh.ports["announce"]), "POST",
            "/instances/%s/deregister" % self.id,
            {"Content-Type": "application/json"}, json.dumps(body).encode(), 1.0,
        )
        self.mesh.record.add(
            "backend %s: deregister -> %s"
            % (self.id, r.status if isinstance(r, Response) else r))
        return isinstance(r, Response) and 200 <= r.status < 300

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                ident = head[1].get((P + "Request-Id").lower())
                try:
                    body = await read_body(reader, head[1])
                except (ConnectionError, asyncio.IncompleteReadError, ValueError):
                    self.mesh.record.add(
                        "backend %s: the connection of %s ends within its body" % (self.id, ident))
                    raise
                await self._answer(reader, writer, head, body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _answer(self, reader, writer, head, body):
        method, target, _ = head[0].split(" ", 2)
        fields = head[1]
        ident = fields.get((P + "Request-Id").lower())
        expected = fields.get((P + "Expect-Instance").lower())
        if method == "GET" and target == "/health":
            ok = not self.leaving and self.state == "ready"
            writer.write(
                ("HTTP/1.1 %s\r\n%sInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                 % ("200 OK" if ok else "503 Service Unavailable", P, self.id)
                 ).encode())
            return
        if ident is None:
            writer.write(b"HTTP/1.1 400 Bad Request\r\n" + (P + "Not-Executed: no id\r\n").encode() +
                         b"Content-Length: 0\r\n\r\n")
            return
        if expected is not None and expected != self.id:
            self.mesh.record.add("backend %s: request %s -> 421" % (self.id, ident))
            writer.write(
                ("HTTP/1.1 421 Misdirected Request\r\n%sRequest-Id: %s\r\n"
                 "%sNot-Executed: other instance\r\nContent-Length: 0\r\n\r\n"
                 % (P, ident, P)).encode())
            return
        self.runs.append((time.monotonic(), ident, method, target, fields, body))
        self.mesh.record.add(
            "backend %s: runs %s %s %s (from %s)"
            % (self.id, ident, method, target,
               fields.get((P + "Caller-Service").lower())))
        if self.behave is not None:
            answer = self.behave(self, reader, writer, ident, head, body)
            if answer is not None:
                await answer
                return
        await asyncio.sleep(self.work_s)
        self.write_ok(writer, ident)

    def write_ok(self, writer, ident, body=None):
        body = body if body is not None else ("%s ran %s\n" % (self.id, ident)).encode()
        writer.write(
            ("HTTP/1.1 200 OK\r\n%sRequest-Id: %s\r\n%sResponse-Seal: seal-%s\r\n"
             "Content-Length: %d\r\n\r\n" % (P, ident, P, ident, len(body))).encode() + body)


class Mesh:
    def __init__(self, record_path, cores=3, sides=(("alpha", 2),), prefix=None):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.extra_env = {}
        self.ports = {}
        self.cores = []
        self.sides = []
        self.version = 0
        self.timeout_ms = 1500
        self.request_count = 0
        self.program_folder = None
        zones = ["accra-osu", "kumasi-adum", "accra-tema", "kumasi-suame"]
        net = self._free_net(cores + sum(n for _, n in sides))
        n = 1
        for i in range(cores):
            self.cores.append(Machine("%s.%d" % (net, n), "core-%d" % (i + 1), zones[i % 4]))
            n += 1
        for service, count in sides:
            for i in range(count):
                self.sides.append(
                    Machine("%s.%d" % (net, n), "sidecar-%s-%d" % (service, i + 1),
                            zones[i % 4], service))
                n += 1

    def _free_net(self, machines):
        """Chooses loopback addresses and ports that are free."""
        for _ in range(50):
            net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
            first = random.randint(10000, 30000)
            ports = {name: first + i for i, name in enumerate(PORT_NAMES)}
            try:
                for n in range(1, machines + 1):
                    for port in ports.values():
                        s = socket.socket()
                        try:
                            s.bind(("%s.%d" % (net, n), port))
                        finally:
                            s.close()
                self.ports = ports
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def values(self, m, is_core):
        region = m.zone.split("-")[0]
        control = self.ports["operators"] if is_core else self.ports["announce"]
        v = {
            "node_name": m.name, "ip": m.ip, "zone": m.zone, "region": region,
            "service": m.service or "", "app_addr": "%s:%d" % m.at(self.ports["app"]),
            "listen.outbound": "%s:%d" % m.at(self.ports["outbound"]),
            "listen.inbound": "%s:%d" % m.at(self.ports["inbound"]),
            "listen.ready": "%s:%d" % m.at(self.ports["ready"]),
            "listen.control": "%s:%d" % m.at(control),
            "internal_ports.0": self.ports["internal0"],
            "internal_ports.1": self.ports["internal1"],
            "seeds": ",".join("%s:%d" % c.at(self.ports["operators"]) for c in self.cores[:3]),
            "data_dir": os.path.join(self.folder, m.name + ".data"),
            "bootstrap": "true" if not os.path.exists(os.path.join(self.folder, m.name + ".data")) else "false",
            "fault_tolerance.machines": 1, "fault_tolerance.zones": 0,
        }
        for k, b in BOUNDS.items():
            v["bounds." + k] = b
        return v

    def words(self, m, is_core):
        words = fill(run_lines()["core" if is_core else "proxy"], self.values(m, is_core))
        words = [w for w in words]
        program = words[0]
        if self.program_folder is not None:
            program = program.replace("target/", self.program_folder + "/", 1)
        words[0] = program if os.path.isabs(program) else os.path.join(ROOT, program)
        if not os.access(words[0], os.X_OK):
            raise CannotRun("not built: " + words[0])
        live = os.path.join(self.folder, "local.toml")
        if not os.path.exists(live):
            with open(live, "w", encoding="utf-8") as f:
                f.write("[live]\nseeds=%s\n" % self.values(m, is_core)["seeds"])
        return [w.replace("/etc/baobabshed/local.toml", live) for w in words]

    async def start_core(self, m):
        m.process = Process(self, m.name, self.words(m, True))
        await m.process.start()

    async def start_side(self, m):
        m.process = Process(self, m.name, self.words(m, False))
        await m.process.start()

    async def start(self, backends=True):
        for m in self.cores:
            await self.start_core(m)
        for m in self.sides:
            await self.start_side(m)
        if backends:
            for i, m in enumerate(self.sides):
                m.backend = Backend(self, m, "i-%08x" % random.getrandbits(32))
                await m.backend.start()

    # The operator.

    def route(self, name, host, prefix, kind, service, **more):
        r = {
            "name": name, "path_prefix": prefix, "route_type": kind,
            "timeout_ms": self.timeout_ms, "target_latency_ms": 600, "priority": 1,
            "service": service, "attempts": 2,
        }
        r.update(more)
        return (host, r)

    def config(self, version, routes, limits=None):
        hosts = {}
        for host, r in routes:
            hosts.setdefault(host, []).append(r)
        return {
            "version": version,
            "services": [
                {"name": s, "health_path": "/health", "max_connections": 130,
                 "protocol": "h1", "tls": False}
                for s in sorted({m.service for m in self.sides})
            ],
            "limits": limits or {
                "max_header_bytes": 16384, "max_body_bytes": 67108864,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
            "virtual_hosts": [{"host": h, "paths": p} for h, p in hosts.items()],
        }

    async def replace(self, config, base, limit_s=20.0):
        """Sends a configuration until it gets a clear answer. Returns the
        status of that, or 0. A call waits a second, more for large bodies."""
        body = json.dumps(config).encode()
        wait_s = 1.0 + len(body) / 4e6
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for m in random.sample(self.cores, len(self.cores)):
                at = m.at(self.ports["operators"])
                for _ in range(3):
                    r = await call(at, "POST", "/config/replace",
                                   {P + "Base-Version": str(base),
                                    "Content-Type": "application/json"}, body, wait_s)
                    if isinstance(r, Response) and r.status == 307:
                        host = r.get("Location").split("/")[2].rsplit(":", 1)
                        at = (host[0], int(host[1]))
                        continue
                    break
                shown = r.status if isinstance(r, Response) else r
                self.record.add("operator: configuration %s on %s to %s -> %s"
                                % (config["version"], base, m.name, shown))
                if isinstance(r, Response) and r.status in (200, 400, 409, 412, 413, 422):
                    return r.status
            await asyncio.sleep(0.2)
        return 0

    async def read(self, limit_s=10.0, wait_s=2.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for m in random.sample(self.cores, len(self.cores)):
                at = m.at(self.ports["operators"])
                for _ in range(3):
                    r = await call(at, "GET", "/config/read", {}, b"", wait_s)
                    if isinstance(r, Response) and r.status == 307:
                        host = r.get("Location").split("/")[2].rsplit(":", 1)
                        at = (host[0], int(host[1]))
                        continue
                    break
                if isinstance(r, Response) and r.status == 200 and r.complete:
                    c = json.loads(r.body)
                    self.record.add("operator: reads version %d from %s" % (c["version"], m.name))
                    return c
            await asyncio.sleep(0.2)
        return None

    # The platform and the clients.

    async def is_ready(self, m):
        r = await call(m.at(self.ports["ready"]), "GET", "/ready", {}, b"", 1.0)
        return isinstance(r, Response) and r.status == 200

    async def wait_ready(self, limit_s=20.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await self.is_ready(m) for m in self.sides]):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("not all machines are ready")

    def new_id(self):
        self.request_count += 1
        return "%08x%08x" % (random.getrandbits(32), self.request_count)

    async def request(self, m, host, method, target, deadline_ms=2000, body=b"", fields=None,
                      ident=None, timeout=None):
        """A client attempt at a machine, on a new connection."""
        ident = ident or self.new_id()
        f = {"Host": host, P + "Request-Id": ident, P + "Deadline-Ms": str(deadline_ms)}
        f.update(fields or {})
        r = await call(m.at(self.ports["outbound"]), method, target, f, body,
                       timeout or deadline_ms / 1000)
        shown = r.status if isinstance(r, Response) else r
        self.record.add("client at %s: %s %s %s -> %s%s"
                        % (m.name, ident, method, target, shown,
                           "" if not isinstance(r, Response) or r.complete else " incomplete"))
        return ident, r

    async def wait_served(self, m, host, method, target, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            _, r = await self.request(m, host, method, target)
            if isinstance(r, Response) and r.status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRun("requests are not served")

    async def stop(self):
        for m in self.sides:
            if m.backend is not None and m.backend.server is not None:
                await m.backend.crash()
        for m in self.cores + self.sides:
            p = m.process
            if p is not None and p.process is not None and p.process.returncode is None:
                p.process.send_signal(signal.SIGCONT)
                p.process.kill()
                await p.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)
        self.record.close()


def run_case(case, folder, limit_s=110.0, **options):
    """Runs `case(mesh)`, which returns True if the rule held. Returns the exit
    code: 0 held, 1 broken, 2 the case could not run."""

    async def main():
        mesh = Mesh(os.path.join(folder, "record.txt"), **options)
        try:
            held = await asyncio.wait_for(case(mesh), limit_s)
            mesh.record.add("result: the rule %s" % ("held" if held else "was broken"))
            return 0 if held else 1
        except (CannotRun, asyncio.TimeoutError, OSError) as e:
            mesh.record.add("result: could not run: %r" % e)
            print("could not run: %r" % e, file=sys.stderr)
            return 2
        finally:
            await mesh.stop()

    return asyncio.run(main())
