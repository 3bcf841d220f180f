"""Stand-ins of the platform's store, of workers and of clients, and a small site of entry processes.

All addresses are loopback addresses. Nothing is written but a temporary folder and the case's record.
The stand-ins follow the operators' pages; where these are silent they behave soundly.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "almondhead")
HOST = "site.example"
PREFIX = "/q1/"
CANCEL_MS = 3000
STOP_MS = 50
CONTACT_MS = 3000
HOLD_MAX_MS = 1000
CLOCK_RATE = 0.98
READY_PATH = "/v1/ready"


class CannotRun(Exception):
    """The case could not run; it shows nothing."""


def free_port():
    """A free port outside the range from which the system takes the ports of outgoing connections."""
    while True:
        port = random.randrange(18000, 31000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


# ---------------------------------------------------------------- HTTP
async def read_message(reader):
    """Reads one HTTP/1.1 message: (first line, headers, body); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    return lines[0], headers, body


def response(status, body):
    data = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n"
            f"content-length: {len(data)}\r\n\r\n").encode() + data


class Server:
    """An HTTP server on a free loopback port; subclasses define `handle`."""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:      # the answer is lost: nothing more comes on this connection
                    break
                writer.write(response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------- the platform's store
class Store(Server):
    def __init__(self):
        self.version = 0
        self.rows = {}          # (table, part, key) -> (value, version)
        self.history = []       # (version, name, value or None)
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        async with self.changed:
            self._put((table, "", key), json.dumps(value).encode())
            self.changed.notify_all()

    async def remove(self, table, key):
        async with self.changed:
            self._remove((table, "", key))
            self.changed.notify_all()

    def _put(self, name, value):
        self.version += 1
        self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value))

    def _remove(self, name):
        if name in self.rows:
            del self.rows[name]
            self.version += 1
            self.history.append((self.version, name, None))

    @staticmethod
    def row(name, value, version):
        out = {"Table": name[0], "part": name[1], "Key": name[2], "Ver": version}
        if value is None:
            out["Removed"] = True
        else:
            out["Value"] = base64.b64encode(value).decode()
        return out

    def now_ms(self):
        return int(time.monotonic() * 1000)

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/rows-tx":
            return await self.transact(json.loads(body))
        if url.path == "/v1/rows-get":
            table, part = query["Table"], query.get("part", "")
            lower, upper = query.get("From", ""), query.get("To")
            limit = min(int(query.get("Limit", 500)), 500)
            names = sorted(n for n in self.rows if n[0] == table and n[1] == part and
                           n[2] >= lower and (upper is None or n[2] < upper))
            rows = [self.row(n, *self.rows[n]) for n in names[:limit]]
            return 200, {"rows": rows, "HasMore": len(names) > limit,
                         "Ver": self.version, "NowMs": self.now_ms()}
        if url.path == "/v1/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, call):
        def name(row):
            return (row["Table"], row.get("part", ""), row["Key"])
        await asyncio.sleep(0.005)
        async with self.changed:
            conditions = call.get("Precondition") or []
            current = {name(c): self.rows.get(name(c)) for c in conditions}
            if any((current[name(c)] or (b"", 0))[1] != c["Ver"] for c in conditions):
                rows = [self.row(n, *r) for n, r in current.items() if r]
                return 412, {"rows": rows, "Ver": self.version, "NowMs": self.now_ms()}
            for put in call.get("Puts") or []:
                self._put(name(put), base64.b64decode(put["Value"]))
            for gone in call.get("Remove") or []:
                self._remove(name(gone))
            self.changed.notify_all()
            return 200, {"Ver": self.version, "NowMs": self.now_ms()}

    async def feed(self, query):
        table, after = query["Table"], int(query["After"])
        until = time.monotonic() + min(int(query.get("WaitMs", 0)), 30000) / 1000
        while True:
            rows = [self.row(n, value, version) for version, n, value in self.history
                    if version > after and n[0] == table][:500]
            if rows or time.monotonic() >= until:
                newest = self.version if len(rows) < 500 else rows[-1]["Ver"]
                return 200, {"rows": rows, "Ver": newest, "NowMs": self.now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass


# ---------------------------------------------------------------- a worker
class Worker(Server):
    """Runs tasks under a lease. A task of step N runs for the N-th number of its `Spec` ("5000 300"), in ms."""

    def __init__(self, record, store, name, zone, cpu=16000, guards=True, service="work"):
        self.record, self.store, self.name, self.zone = record, store, name, zone
        self.cpu, self.guards, self.service = cpu, guards, service
        self.labels = ["a", "r1-1"]
        self.state = "ready"
        self.seq = 0
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.running = {}       # (task, run) -> [begun, seconds, cpu]
        self.ended = []         # [N, task, run, how, saved]
        self.next_end = 1
        self.highest = {}       # task -> the highest run that was stopped or has ended here
        self.news = asyncio.Event()

    def clock_ms(self):
        # "the worker's own steady clock, which may be 2% slow"
        return 480000 + int((time.monotonic() - self.started) * 1000 * CLOCK_RATE)

    async def beat(self):
        while True:
            await self.list_entry()
            await asyncio.sleep(1.5)

    async def list_entry(self):
        self.seq += 1
        await self.store.put("servers", self.name, {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Slots": 8, "State": self.state, "ColdLeftMs": 0, "Seq": self.seq, "born": self.born,
            "Room": {"Cpu": self.cpu, "MemMb": 65536}, "Labels": self.labels,
            "ClockMs": self.clock_ms()})

    async def tick(self):
        while True:
            self.advance()
            await asyncio.sleep(0.005)

    def advance(self):
        now = time.monotonic()
        lapsed = self.clock_ms() >= self.until_ms
        for run, (begun, seconds, _) in list(self.running.items()):
            if now >= begun + seconds:
                self.end(run, "done")
            elif lapsed:
                self.end(run, "lapsed")

    def end(self, run, how):
        if self.running.pop(run, None) is not None:
            self.ended.append([self.next_end, run[0], run[1], how, ""])
            self.next_end += 1
            self.record.note("end", worker=self.name, task=run[0], run=run[1], how=how)
        self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
        self.news.set()

    def lists(self):
        now = time.monotonic()
        running = [[task, run, "", min(99, int(100 * (now - begun) / seconds)), cpu]
                   for (task, run), (begun, seconds, cpu) in self.running.items()]
        return {"ClockMs": self.clock_ms(), "Running": running, "Ended": self.ended[:500],
                "born": self.born}

    async def handle(self, method, target, headers, body):
        self.advance()
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.name:
            return 421, {}
        if method != "POST" or target not in ("/v1/run-start", "/v1/run-stop", "/v1/hold"):
            return 404, {}
        call = json.loads(body)
        fence = call.get("Fence", 0)
        if fence < self.fence:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
        self.fence = fence
        if target == "/v1/run-start":
            return self.start_run(call)
        if target == "/v1/run-stop":
            run = (call["Task"], call["Run"])
            self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
            self.end(run, "stopped")
            return 200, {"ClockMs": self.clock_ms()}
        self.ended = [row for row in self.ended if row[0] > call.get("LastSeen", 0)]
        if "UntilMs" in call:
            self.extend(call["UntilMs"])
        until = time.monotonic() + min(call.get("WaitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        return 200, self.lists()

    def extend(self, until_ms):
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + HOLD_MAX_MS))

    def start_run(self, call):
        run = (call["Task"], call["Run"])
        if run in self.running:
            return 200, {"ClockMs": self.clock_ms()}
        if call["UntilMs"] <= self.clock_ms():
            return 409, {"ClockMs": self.clock_ms(), "Reason": "late"}
        self.extend(call["UntilMs"])
        if self.highest.get(run[0], 0) >= run[1]:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "old"}
        job, _, step, _ = run[0].split(".")
        times = call["Spec"].split(";")[0].split()
        cpu = self.record.demand(job, int(step))
        used = sum(r[2] for r in self.running.values())
        if self.guards and used + cpu > self.cpu:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "room"}
        self.running[run] = [time.monotonic(), int(times[int(step)]) / 1000, cpu]
        self.record.note("start", worker=self.name, task=run[0], run=run[1], used=used + cpu,
                         spec=call["Spec"][:60])
        return 200, {"ClockMs": self.clock_ms()}


# ---------------------------------------------------------------- the record
class Record:
    """What was sent, answered and run, with times in milliseconds since the start of the case."""

    def __init__(self, path):
        self.path, self.lines, self.begun = path, [], time.monotonic()
        self.demands = {}

    def now_ms(self):
        return (time.monotonic() - self.begun) * 1000

    def demand(self, job, step):
        return self.demands.get((job, step), 1000)

    def note(self, what, **fields):
        fields = {"at_ms": round(self.now_ms(), 1), "what": what, **fields}
        self.lines.append(fields)
        return fields["at_ms"]

    def of(self, what, **fields):
        return [line for line in self.lines if line["what"] == what and
                all(line.get(name) == value for name, value in fields.items())]

    def starts_of(self, job):
        return [line for line in self.of("start") if line["task"].startswith(job + ".")]

    def write(self):
        with open(self.path, "w") as out:
            for line in self.lines:
                at = line["at_ms"]
                rest = " ".join(f"{k}={v}" for k, v in line.items() if k not in ("at_ms", "what"))
                out.write(f"{at:10.1f} ms  {line['what']:<10} {rest}\n")


# ---------------------------------------------------------------- entry processes
class Entry:
    """One entry process, started with the deploy file's command on a settings file like the deployment's."""

    def __init__(self, site, name, zone, share=0.25):
        self.site, self.name, self.zone, self.share = site, name, zone, share
        self.caller, self.ready, self.peer, self.operator = (free_port() for _ in range(4))
        self.process = None

    async def start(self):
        settings = {
            "instance": self.name, "data_centre": self.zone,
            "caller_address": f"127.0.0.1:{self.caller}", "peer_address": f"127.0.0.1:{self.peer}",
            "operator_address": f"127.0.0.1:{self.operator}",
            "platform_address": self.site.store.address, "executor_threads": 1,
            "machine": {"memory_mb": 260, "descriptors": 4100},
            "leased_runs": {
                "ready_address": f"127.0.0.1:{self.ready}", "lease_ms": HOLD_MAX_MS,
                "stop_grace_ms": 6000, "max_intended_age_ms": 2000,
                "processor": {"share": self.share, "cores": 1}, "overload": "by_priority"}}
        path = os.path.join(self.site.folder, self.name + ".json")
        with open(path, "w") as out:
            json.dump(settings, out)
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--settings", path, stdout=log, stderr=log, cwd=ROOT)
        self.site.record.note("process", entry=self.name, event="started")

    def signal(self, number, what):
        self.site.record.note("process", entry=self.name, event=what)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            return (await call(self.ready, "GET", READY_PATH, timeout=1))[0] == 200
        except (OSError, asyncio.TimeoutError, EOFError):
            return False

    async def wait_ready(self, seconds=15, pause=0.05):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                self.site.record.note("process", entry=self.name, event="ready")
                return
            await asyncio.sleep(pause)
        raise CannotRun(f"{self.name} is not ready")


class Site:
    def __init__(self, record):
        self.record, self.entries, self.workers, self.jobs = record, {}, {}, []
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.version = 0

    async def start(self, workers=8, zones=("z1",), routes=None, guards=True, cpu=16000):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        self.store = await Store().start()
        await self.configure(routes or [{"Name": "q1", "PathPrefix": PREFIX}], guards)
        for number in range(workers):
            await self.add_worker(f"w{number}", zones[number % len(zones)], cpu, guards)

    async def configure(self, routes, guards=True):
        self.version += 1
        full = [{"Host": HOST, "Service": "work", "Kind": "unsafe", "TimeoutMs": 1500,
                 "TargetDurationMs": 60, "Priority": 0, "MaxAttempts": 3, "Stretch": 1.6, **route}
                for route in routes]
        await self.store.put("op", "config", {
            "Version": self.version, "Routes": full,
            "Services": [{"Name": "work", "EnforcesCapacity": guards}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144}})

    async def add_worker(self, name, zone, cpu=16000, guards=True):
        worker = await Worker(self.record, self.store, name, zone, cpu, guards).start()
        self.workers[name] = worker
        self.jobs.append(asyncio.create_task(worker.beat()))
        self.jobs.append(asyncio.create_task(worker.tick()))
        return worker

    async def add_entry(self, name, zone="z1", wait=True, pause=0.05, share=0.25):
        entry = Entry(self, name, zone, share)
        self.entries[name] = entry
        await entry.start()
        if wait:
            await entry.wait_ready(pause=pause)
        return entry

    async def stop(self):
        for entry in self.entries.values():
            if entry.process and entry.process.returncode is None:
                try:
                    entry.process.send_signal(signal.SIGCONT)
                    entry.process.kill()
                except ProcessLookupError:
                    pass
                await entry.process.wait()
        for job in self.jobs:
            job.cancel()


# ---------------------------------------------------------------- clients
async def call(port, method, path, body=None, headers=None, timeout=30, early=None):
    """One request on a new connection; returns status and decoded body. EOFError: no whole answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        data = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body is not None:
            lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        if early is not None:
            await early(reader, writer)
        message = await asyncio.wait_for(read_message(reader), timeout)
        if message is None:
            raise EOFError("no answer")
        line, _, answer = message
        try:
            decoded = json.loads(answer)
        except ValueError:
            decoded = {}
        return int(line.split(" ")[1]), decoded
    finally:
        writer.close()


def new_id():
    return os.urandom(8).hex()


def job_body(times, count=2, cpu=2000, **more):
    """A job of one step for each run time in `times`; each step waits for the one before."""
    steps = []
    for number, ms in enumerate(times):
        step = {"Count": count, "Cpu": cpu, "MemMb": 64, "EstimateMs": ms, **more}
        if number:
            step["After"] = [number - 1]
        steps.append(step)
    return {"Spec": " ".join(str(ms) for ms in times), "Steps": steps, "BestEffort": True}


async def submit(site, entry, job, body, wait_ms, prefix=PREFIX, note="", early=None):
    for number, step in enumerate(body["Steps"]):
        site.record.demands[(job, number)] = step["Cpu"]
    site.record.note("send", entry=entry.name, call=f"POST {prefix}{job}", wait_ms=wait_ms, why=note)
    try:
        status, answer = await call(entry.caller, "POST", prefix + job, body,
                                    {"X-Deadline-Ms": wait_ms}, wait_ms / 1000 + 2, early)
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        site.record.note("answer", entry=entry.name, call=f"POST {job}", status=f"none ({error!r})")
        return None, {}
    site.record.note("answer", entry=entry.name, call=f"POST {job}", status=status, body=answer)
    return status, answer


async def cancel(site, entry, job, prefix=PREFIX):
    site.record.note("send", entry=entry.name, call=f"DELETE {prefix}{job}")
    status, answer = await call(entry.caller, "DELETE", prefix + job, timeout=5)
    at = site.record.note("answer", entry=entry.name, call=f"DELETE {job}", status=status, body=answer)
    return status, at


def run_case(folder, case):
    """Runs `case(site, trouble)`, which returns the breaks that it saw, and exits with the result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))

    async def main():
        site = Site(record)
        try:
            return await asyncio.wait_for(case(site, trouble), 110)
        finally:
            await site.stop()
    try:
        breaks = asyncio.run(main())
        result = 1 if breaks else 0
        for line in breaks:
            record.note("broken", text=line)
    except Exception as error:   # noqa: the case shows nothing then
        record.note("cannot run", error=repr(error))
        result = 2
    record.note("result", trouble=trouble, exit=result)
    record.write()
    print(open(record.path).read()[-1500:])
    raise SystemExit(result)
