"""Stand-ins for the scripts of the second review: platform, operator, clients
and backends. Everything listens on loopback addresses only."""
import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

PRCTL = ctypes.CDLL(None).prctl
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROXY = os.path.join(ROOT, "target/proxyd/baobab-proxy")
CORE = os.path.join(ROOT, "target/cored/baobab-core")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the small deployments (SYSTEM.md).
BOUNDS = {"grace_s": 6, "budget_window_s": 10, "retry_budget_ratio": 0.2,
          "retry_budget_slack": 64}
HEARTBEAT_S = 1.5


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


def end_with_parent():
    """Makes a program end when the script ends, however that does."""
    PRCTL(1, signal.SIGKILL, 0, 0, 0)  # PR_SET_PDEATHSIG


class Process:
    """A program under test."""

    def __init__(self, name, arguments, log):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.child = None

    def start(self):
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(
                self.arguments, stdout=out, stderr=out, cwd=ROOT,
                stdin=subprocess.DEVNULL, env={"PATH": os.environ["PATH"]},
                preexec_fn=end_with_parent)

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def end(self):
        if self.child is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.child.wait()
            self.child = None


def is_free(ips, port):
    """Returns whether a port is free on all of the addresses."""
    try:
        for ip in ips:
            with socket.socket() as s:
                s.bind((ip, port))
    except OSError:
        return False
    return True


def free_ports(ips, count, first=None):
    """Returns ports that are free on all of the addresses, `first` as the
    first one if it is free."""
    found = []
    tried = [first] if first else []
    while len(found) < count:
        port = tried.pop() if tried else random.randint(21000, 31000)
        if port not in found and is_free(ips, port):
            found.append(port)
    return found


class SilentAddress:
    """An address that doesn't answer, like that of a machine without power:
    its queue of new connections is full, so that further ones hang."""

    def __init__(self, ip, port):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(0)
        self.fillers = []
        for _ in range(3):
            s = socket.socket()
            s.setblocking(False)
            s.connect_ex((ip, port))
            self.fillers.append(s)

    def close(self):
        for s in self.fillers + [self.listener]:
            s.close()


class Reply:
    def __init__(self, status, fields, body, is_whole):
        self.status = status
        self.fields = fields
        self.body = body
        self.is_whole = is_whole

    def __repr__(self):
        return f"{self.status} {self.fields} {self.body[:80]!r} whole={self.is_whole}"


async def read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields, text


async def read_body(reader, fields, until_end=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


async def read_reply(reader, method="GET"):
    """Returns a Reply, or None if the connection ends before its head."""
    try:
        while True:
            line, fields, _ = await read_head(reader)
            status = int(line.split()[1])
            if status >= 200:
                break
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    if method == "HEAD" or status in (204, 304):
        return Reply(status, fields, b"", True)
    try:
        has_length = "content-length" in fields or "transfer-encoding" in fields
        body = await read_body(reader, fields, not has_length)
        return Reply(status, fields, body, True)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Reply(status, fields, b"", False)


async def call(ip, port, method, path, host, body=b"", fields=(), limit_s=10):
    """Sends one request on a new connection. Returns a Reply or None."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in fields)
        if body or method in ("POST", "PUT"):
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        try:
            return await read_reply(reader, method)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), limit_s)
    except (OSError, asyncio.TimeoutError):
        return None


class Backend:
    """A backend on a sidecar machine. `serve` may be replaced; it gets the
    request and returns (status, fields, body), bytes to be written as they
    are, or None to leave the request without an answer."""

    def __init__(self, mesh, index, service, slots=6):
        self.mesh = mesh
        self.index = index
        self.ip = mesh.side_ips[index]
        self.service = service
        self.slots = slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.is_beating = True
        self.runs = []          # (time, id, method, path, fields, body)
        self.server = None
        self.beater = None
        self.connections = set()
        self.serve = self.serve_plainly

    async def start(self):
        self.server = await asyncio.start_server(
            self.on_connection, self.ip, self.mesh.ports["app"])
        self.beater = asyncio.ensure_future(self.beat_always())

    async def stop(self):
        if self.beater:
            self.beater.cancel()
        if self.server:
            self.server.close()
        for w in list(self.connections):
            w.transport.abort()

    def beat_body(self, **more):
        b = {"address": f"{self.ip}:{self.mesh.ports['app']}",
             "info": {"service": self.service, "version": "v1",
                      "zone": self.mesh.side_zones[self.index],
                      "max_concurrency": self.slots},
             "status": {"state": self.state, "seq": self.seq,
                        "warmup_left_ms": 0},
             "born": self.born}
        b.update(more)
        return json.dumps(b).encode()

    async def beat(self):
        self.seq += 1
        return await call(self.ip, self.mesh.ports["control"], "POST",
                          f"/instances/{self.id}/heartbeat", "x",
                          self.beat_body(),
                          [("Content-Type", "application/json")], 1)

    async def deregister(self):
        self.is_beating = False
        return await call(self.ip, self.mesh.ports["control"], "POST",
                          f"/instances/{self.id}/deregister", "x",
                          self.beat_body(),
                          [("Content-Type", "application/json")], 1)

    async def beat_always(self):
        while True:
            if self.is_beating:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve_plainly(self, request):
        return 200, [], b"body of " + request["id"].encode()

    async def on_connection(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, fields, raw = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                if path == "/health":
                    status = "200 OK" if self.state == "ready" else "503 No"
                    writer.write(f"HTTP/1.1 {status}\r\nX-Baobabshed-Instance-Id: "
                                 f"{self.id}\r\nContent-Length: 0\r\n\r\n".encode())
                    if fields.get("connection") == "close":
                        break
                    continue
                body = await read_body(reader, fields)
                rid = fields.get("x-baobabshed-request-id", "")
                request = {"id": rid, "method": method, "path": path,
                           "fields": fields, "body": body, "writer": writer,
                           "reader": reader}
                want = fields.get("x-baobabshed-expect-instance", self.id)
                if want != self.id:
                    writer.write(b"HTTP/1.1 421 No\r\nX-Baobabshed-Request-Id: "
                                 + rid.encode() + b"\r\nX-Baobabshed-Not-Executed: 1"
                                 b"\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.runs.append((time.monotonic(), rid, method, path, fields,
                                  body))
                self.mesh.record(f"backend {self.index} runs {rid} {method} "
                                 f"{path} {len(body)} bytes")
                answer = await self.serve(request)
                if answer is None:
                    continue
                if isinstance(answer, bytes):
                    writer.write(answer)
                else:
                    writer.write(self.encode(request, *answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def encode(self, request, status, fields, body):
        head = (f"HTTP/1.1 {status} Status\r\nX-Baobabshed-Request-Id: "
                f"{request['id']}\r\nX-Baobabshed-Response-Seal: "
                f"seal.{request['id']}\r\n")
        head += "".join(f"{k}: {v}\r\n" for k, v in fields)
        head += f"Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + (b"" if request["method"] == "HEAD" else body)


class Mesh:
    """Cores and sidecar machines on loopback addresses of their own."""

    def __init__(self, record, cores=3, sides=2, services=("app",),
                 bounds=None, tenants=None, slots=6,
                 side_zones=None, addresses=()):
        """addresses: two bytes of the addresses and the control port; the
        first whose port is free is used."""
        self.record = record
        net, sub, port = next(
            (a for a in addresses
             if is_free([f"127.{a[0]}.{a[1]}.10"], a[2])),
            (random.randint(10, 250), random.randint(1, 250), None))
        self.core_ips = [f"127.{net}.{sub}.{10 + i}" for i in range(cores)]
        self.side_ips = [f"127.{net}.{sub}.{100 + i}" for i in range(sides)]
        names = ["p0", "entry", "gate", "ready", "control", "p1", "app"]
        self.ports = dict(zip(names, free_ports(
            self.core_ips + self.side_ips, len(names), port)))
        self.zones = ["z1", "z2", "z3", "z4"]
        self.side_zones = side_zones or [self.zones[i % 4]
                                         for i in range(sides)]
        self.side_services = [services[i % len(services)] for i in range(sides)]
        self.services = list(dict.fromkeys(services))
        self.folder = tempfile.mkdtemp(prefix="baobab-review-")
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.tenants = tenants
        self.version = 0
        self.seeds = ",".join(f"{ip}:{self.ports['control']}"
                              for ip in self.core_ips[:3])
        self.settings_file = os.path.join(self.folder, "live.settings")
        self.write_settings(self.seeds)
        self.cores = [self.core_process(i, "true") for i in range(cores)]
        self.proxies = [self.proxy_process(i) for i in range(sides)]
        self.backends = [Backend(self, i, self.side_services[i], slots)
                         for i in range(sides)]

    def region(self, zone):
        return f"r{self.zones.index(zone) // 2}"

    def write_settings(self, seeds):
        with open(self.settings_file, "w", encoding="utf-8") as f:
            f.write(f"[live]\nseeds={seeds}\n")

    def core_process(self, i, first_start, seeds=None, zone=None):
        p, b = self.ports, self.bounds
        zone = zone or self.zones[i % 4]
        return Process(f"core{i}", [
            CORE, f"--host=core-{i}", f"--ip={self.core_ips[i]}",
            f"--zone={zone}", f"--region={self.region(zone)}",
            f"--data={self.folder}/core{i}",
            f"--listen-operators={self.core_ips[i]}:{p['control']}",
            f"--listen-metrics={self.core_ips[i]}:{p['p1']}",
            f"--seeds={seeds or self.seeds}", f"--control-port={p['p0']}",
            f"--first-start={first_start}", "--lost-hosts=1",
            "--lost-zones=0", f"--canary-share={b.get('canary_share', '')}",
            f"--canary-slack={b.get('canary_slack', '')}",
            f"--rollback={b.get('rollback_ms', '')}",
            f"--quota-window={b.get('quota_window_s', '')}",
            f"--live-settings={self.settings_file}"],
            f"{self.folder}/core{i}.log")

    def proxy_process(self, i):
        p, b, ip = self.ports, self.bounds, self.side_ips[i]
        return Process(f"proxy{i}", [
            PROXY, f"--host=sidecar-{i}", f"--ip={ip}",
            f"--zone={self.side_zones[i]}",
            f"--region={self.region(self.side_zones[i])}",
            f"--service={self.side_services[i]}",
            f"--upstream={ip}:{p['app']}", f"--listen-entry={ip}:{p['entry']}",
            f"--listen-gate={ip}:{p['gate']}",
            f"--listen-ready={ip}:{p['ready']}",
            f"--listen-announce={ip}:{p['control']}",
            f"--listen-metrics={ip}:{p['p1']}", f"--seeds={self.seeds}",
            f"--control-port={p['p0']}", f"--grace={b['grace_s']}",
            f"--retry-window={b['budget_window_s']}",
            f"--retry-ratio={b['retry_budget_ratio']}",
            f"--retry-allowance={b['retry_budget_slack']}",
            f"--strict-revoke={b.get('strict_revoke', '')}",
            f"--revoke={b.get('revoke_ms', '')}",
            f"--canary-share={b.get('canary_share', '')}",
            f"--live-settings={self.settings_file}"],
            f"{self.folder}/proxy{i}.log")

    def add_core(self, seeds=None, zone=None):
        """Returns a further core machine, with an empty disk, not started.
        Its settings name the seeds, or those of the first start."""
        net = self.core_ips[0].rsplit(".", 1)[0]
        self.core_ips.append(f"{net}.{10 + len(self.core_ips)}")
        self.cores.append(self.core_process(len(self.cores), "false",
                                            seeds, zone))
        return self.cores[-1]

    def silence(self, i):
        """Makes connections to a core machine that has ended hang. Returns
        what has to be closed."""
        return [SilentAddress(self.core_ips[i], self.ports[name])
                for name in ("p0", "p1", "control")]

    def routes(self):
        """One host; for each service a safe and an unsafe route."""
        return [{"host": "h.example", "paths": [
            {"name": f"{kind}-{s}", "path_prefix": f"/{kind}-{s}/",
             "route_type": kind, "timeout_ms": 3000, "target_latency_ms": 800,
             "priority": 1, "service": s, "attempts": 2}
            for s in self.services for kind in ("safe", "unsafe")]}]

    def config(self, version, hosts=None, **more):
        c = {"version": version,
             "services": [{"name": s, "health_path": "/health",
                           "max_connections": 130, "protocol": "h1",
                           "tls": False} for s in self.services],
             "limits": {"max_header_bytes": 16384,
                        "max_body_bytes": 67108864,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
             "virtual_hosts": hosts or self.routes()}
        if self.tenants is not None:
            c["tenants"] = self.tenants
        c.update(more)
        return c

    async def order(self, config, base, core=0, limit_s=1.5):
        """Sends a configuration to one core and follows redirects. Returns
        the status, or None."""
        ip, port = self.core_ips[core], self.ports["control"]
        body = config if isinstance(config, bytes) \
            else json.dumps(config).encode()
        for _ in range(3):
            r = await call(ip, port, "POST", "/config/replace", f"{ip}:{port}",
                           body, [("X-Baobabshed-Base-Version", base),
                                  ("Content-Type", "application/json")],
                           limit_s)
            if r is None or r.status != 307:
                return r.status if r else None
            ip = r.fields["location"].split("//")[1].split(":")[0]
        return None

    async def read_config(self, core=0):
        ip, port = self.core_ips[core], self.ports["control"]
        for _ in range(3):
            r = await call(ip, port, "GET", "/config/read", f"{ip}:{port}",
                           limit_s=2)
            if r is None or r.status != 307:
                return r
            ip = r.fields["location"].split("//")[1].split(":")[0]
        return None

    async def put(self, config, base):
        """Sends a configuration until it has a clear answer."""
        for n in range(40):
            status = await self.order(config, base, n % len(self.cores))
            if status in (200, 400, 409, 412, 413, 422):
                self.record(f"operator: version {config['version']} on {base}"
                            f" -> {status}")
                return status
            await asyncio.sleep(0.25)
        return None

    async def start(self):
        for p in self.cores + self.proxies:
            p.start()
        for b in self.backends:
            await b.start()
        if await self.put(self.config(1), 0) != 200:
            raise RuntimeError("the first configuration was not accepted")
        self.version = 1
        end = time.monotonic() + 10
        for i in range(len(self.proxies)):
            while not await self.is_ready(i):
                if time.monotonic() > end:
                    raise RuntimeError("a proxy does not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2)

    async def is_ready(self, i):
        r = await call(self.side_ips[i], self.ports["ready"], "GET", "/ready",
                       "x", limit_s=1)
        return r is not None and r.status == 200

    async def ask(self, i, method, path, rid=None, body=b"", deadline_ms=2000,
                  fields=(), limit_s=None):
        """A client's request at the entry of a machine."""
        rid = rid or f"{random.getrandbits(64):016x}"
        r = await call(self.side_ips[i], self.ports["entry"], method, path,
                       "h.example", body,
                       [("X-Baobabshed-Request-Id", rid),
                        ("X-Baobabshed-Deadline-Ms", deadline_ms),
                        *fields], limit_s or deadline_ms / 1000 + 1)
        self.record(f"client at {i}: {method} {path} {rid} -> "
                    f"{r.status if r else 'no answer'}"
                    f"{'' if r is None or r.is_whole else ' incomplete'}")
        return r

    def runs(self, rid):
        return [(b.index, x) for b in self.backends for x in b.runs
                if x[1] == rid]

    async def stop(self):
        for b in self.backends:
            await b.stop()
        for p in self.cores + self.proxies:
            p.end()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder, is_started=True, **options):
    """Runs a case, which returns whether the rule held, and exits with 0, 1
    or, if it could not run, 2. With is_started the processes run and have a
    configuration when the case begins."""
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        mesh = None
        try:
            mesh = Mesh(record, **options)
            if is_started:
                await mesh.start()
            return 0 if await case(mesh) else 1
        except Exception as e:  # noqa: the case could not run
            record(f"cannot run: {e!r}")
            return 2
        finally:
            if mesh is not None:
                await mesh.stop()

    async def limited():
        try:
            return await asyncio.wait_for(run(), 115)
        except asyncio.TimeoutError:
            record("cannot run: too long")
            return 2

    def stop(number, frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    result = asyncio.run(limited())
    record(f"exit {result}")
    sys.exit(result)
