"""Stand-ins for the cases of this review: store, workers, clients and proxies.

They speak what PROTOCOL.md says, over HTTP/1.1 on loopback addresses and the real clock. Only the Python
standard library is used. Each worker is a process of its own (`standins.py worker JSON`), so that it can
be killed and started again; store, proxies and clients run in the process of the case.

The store answers each instance on a port of its own. Where a case cuts the links between instances, the
answer to a read of the instances' rows names a proxy in place of another instance's peer address. Nothing
else of a row is changed: the store keeps what was written, and the proxy stands for the network.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "almondhead")

# Figures of the site pesu-yhteis (SYSTEM.md, Bounds).
HOLD_MAX_MS = 1000
STOP_MS = 50
RESEND_MS = 1300
CANCEL_MS = 3000
CONTACT_MS = 3000
HEARTBEAT_MS = 1500
CLIENT_LIMIT_MS = 1500
SERVICE = "varauspoyta"
HOST = "pesu.example"

# Above this the record has a line for each job and worker in place of one for each start and end.
MAX_TASK_LINES = 20_000


class CannotRun(Exception):
    """The case could not run."""


# ---------------------------------------------------------------- HTTP


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns (first line, headers, body) or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Serves `handler(method, target, headers, body) -> (status, object)`."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                status, answer = await self.handler(method, target, headers, body)
                data = json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(port, method, path, headers=None, body=None, timeout=None):
    """Sends one request on a new connection; returns (status, body text).

    Raises ConnectionError, or asyncio.TimeoutError when the client gives up; both close the connection.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Content-Length": str(len(data)), "Content-Type": "application/json"}
            fields.update({"Host": "localhost"} if headers is None else headers)
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            try:
                first, _, answer = await read_message(reader)
            except asyncio.IncompleteReadError as error:
                raise ConnectionError("connection broken before the answer") from error
            return int(first.split(" ")[1]), answer.decode()
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


# ---------------------------------------------------------------- store


class Store:
    """The platform's store: tables of rows with one counter of versions, and the feed of changes."""

    def __init__(self):
        self.version = 100
        self.tables = {}
        self.changes = []
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        self.views = {}

    async def open(self, view=None, links=None):
        """Opens a port; `links` maps instance names to the ports of the proxies that lead there."""

        async def handler(method, target, headers, body):
            return await self.handle(view, links or {}, method, target, body)

        server = await HttpServer(handler).start()
        self.views[view] = server
        return server.port

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def put(self, table, key, value):
        """Writes a row (bytes), or removes it (None)."""
        self.version += 1
        rows = self.tables.setdefault(table, {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = (value, self.version)
        self.changes.append((self.version, table, key, value))
        async with self.changed:
            self.changed.notify_all()

    def row(self, table, key, value, version, links):
        if value is None:
            return {"Table": table, "part": "", "Key": key, "Ver": version, "Removed": True}
        if table == "instances" and key in links:
            member = json.loads(value)
            member["peer_address"] = f"127.0.0.1:{links[key]}"
            value = json.dumps(member).encode()
        text = base64.b64encode(value).decode()
        return {"Table": table, "part": "", "Key": key, "Value": text, "Ver": version}

    async def handle(self, view, links, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        table = unquote(query.get("Table", ""))
        if url.path == "/v1/rows-get":
            limit = min(int(query.get("Limit", "500")), 500)
            rows = sorted(self.tables.get(table, {}).items())
            rows = [(key, row) for key, row in rows if key >= query.get("From", "")]
            if "To" in query:
                rows = [(key, row) for key, row in rows if key < query["To"]]
            page = [self.row(table, key, row[0], row[1], links) for key, row in rows[:limit]]
            return 200, {
                "rows": page,
                "HasMore": len(rows) > limit,
                "Ver": self.version,
                "NowMs": self.now_ms(),
            }
        if url.path == "/v1/rows-feed":
            after = int(query["After"])
            until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
            while True:
                rows = [change for change in self.changes if change[0] > after and change[1] == table]
                left = until - time.monotonic()
                if rows or left <= 0:
                    break
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            latest = {key: (value, version) for version, _, key, value in rows}
            rows = [self.row(table, key, value, version, links) for key, (value, version) in latest.items()]
            rows.sort(key=lambda row: row["Ver"])
            return 200, {"rows": rows, "Ver": self.version, "NowMs": self.now_ms()}
        if url.path == "/v1/rows-tx":
            entry = json.loads(body)
            named = entry.get("Puts", []) + entry.get("Remove", [])
            if view is not None and any(row["Table"] in ("op", "servers") for row in named):
                return 403, {}
            for row in entry.get("Precondition", []):
                current = self.tables.get(row["Table"], {}).get(row["Key"])
                if (current[1] if current else 0) != row["Ver"]:
                    rows = [
                        self.row(it["Table"], it["Key"], *self.tables[it["Table"]][it["Key"]], links)
                        for it in entry["Precondition"]
                        if it["Key"] in self.tables.get(it["Table"], {})
                    ]
                    return 412, {"rows": rows, "Ver": self.version, "NowMs": self.now_ms()}
            for row in entry.get("Puts", []):
                await self.put(row["Table"], row["Key"], base64.b64decode(row["Value"]))
            for row in entry.get("Remove", []):
                await self.put(row["Table"], row["Key"], None)
            return 200, {"Ver": self.version, "NowMs": self.now_ms()}
        return 404, {}


# ---------------------------------------------------------------- worker


class Worker:
    """One life of a worker."""

    def __init__(self, settings):
        self.id = settings["id"]
        self.labels = settings["labels"]
        self.zone = settings["zone"]
        self.room = {"Cpu": settings.get("cpu", 32000), "MemMb": 131072, "Gpu": 0}
        self.store = settings["store"]
        self.port = settings["port"]
        self.listed_port = settings.get("listed_port") or self.port
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_until = 0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.highest = {}
        self.wake = asyncio.Event()
        self.seq = 0
        self.factor = 1.0

    def log(self, event, **fields):
        line = {"t": time.monotonic(), "who": self.id, "event": event, **fields}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 10_000

    async def run(self):
        server = await HttpServer(self.handle).start(self.port)
        self.log("up", labels=self.labels, born=self.born)
        asyncio.ensure_future(self.watch_lease())
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def beat(self):
        self.seq += 1
        entry = {
            "Service": SERVICE,
            "Address": f"127.0.0.1:{self.listed_port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Room": self.room,
            "Labels": self.labels,
            "ClockMs": self.clock(),
            "Seq": self.seq,
            "born": self.born,
        }
        put = {
            "Table": "servers",
            "part": "",
            "Key": self.id,
            "Value": base64.b64encode(json.dumps(entry).encode()).decode(),
        }
        try:
            await request(self.store, "POST", "/v1/rows-tx", body={"Puts": [put]}, timeout=2)
        except (OSError, asyncio.TimeoutError):
            pass

    async def watch_lease(self):
        while True:
            if self.running and self.clock() >= self.lease_until:
                for name in list(self.running):
                    self.end(name, "lapsed")
            await asyncio.sleep(0.002)

    def extend(self, until_ms):
        if until_ms is not None:
            self.lease_until = max(self.lease_until, min(until_ms, self.clock() + HOLD_MAX_MS))

    def end(self, name, how):
        run = self.running.pop(name, None)
        if run is None:
            return
        run["timer"].cancel()
        self.highest[name[0]] = max(self.highest.get(name[0], 0), name[1])
        self.ended.append([self.next_end, name[0], name[1], how, ""])
        self.next_end += 1
        self.log("end", task=name[0], run=name[1], how=how)
        self.wake.set()
        self.wake = asyncio.Event()

    def slow(self, factor):
        """From now on work takes `factor` times as long, also what is left of runs in progress."""
        now = time.monotonic()
        for name, run in self.running.items():
            run["done"] += (now - run["since"]) / self.factor
            run["since"] = now
            run["timer"].cancel()
            left = max(0.0, run["work"] - run["done"]) * factor
            run["timer"] = asyncio.get_running_loop().call_later(left, self.end, name, "done")
        self.factor = factor
        self.log("speed", factor=factor)
        return 200, {}

    def percent(self, run):
        done = run["done"] + (time.monotonic() - run["since"]) / self.factor
        return min(99, int(done / max(run["work"], 1e-6) * 100))

    async def handle(self, method, target, headers, body):
        if target == "/health":
            return 200, {}
        if target == "/stand-in/slow":
            return self.slow(json.loads(body)["Factor"])
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"ClockMs": self.clock()}
        order = json.loads(body)
        if order.get("Fence", 0) < self.fence:
            return 409, {"ClockMs": self.clock(), "Reason": "fence"}
        self.fence = order.get("Fence", 0)
        if target == "/v1/run-start":
            return self.start_run(order)
        if target == "/v1/run-stop":
            name = (order["Task"], order["Run"])
            self.highest[name[0]] = max(self.highest.get(name[0], 0), name[1])
            self.end(name, "stopped")
            return 200, {"ClockMs": self.clock()}
        if target == "/v1/hold":
            return await self.hold(order)
        return 404, {}

    def start_run(self, order):
        name = (order["Task"], order["Run"])
        if name in self.running:
            return 200, {"ClockMs": self.clock()}
        until = order["UntilMs"]
        if until <= self.clock():
            return 409, {"ClockMs": self.clock(), "Reason": "late"}
        self.extend(until)
        if order["Run"] <= self.highest.get(order["Task"], 0):
            return 409, {"ClockMs": self.clock(), "Reason": "old"}
        spec = json.loads(order["Spec"])
        cpu = sum(run["cpu"] for run in self.running.values())
        if cpu + spec.get("cpu", 0) > self.room["Cpu"]:
            return 409, {"ClockMs": self.clock(), "Reason": "room"}
        step, index = [int(part) for part in order["Task"].split(".")[2:]]
        work = spec["work_ms"]
        work = work[step] if isinstance(work, list) else work
        work = work[index % len(work)] if isinstance(work, list) else work
        run = {"since": time.monotonic(), "done": 0.0, "work": work / 1000, "cpu": spec.get("cpu", 0)}
        # The loop's timers come a millisecond late; shorter work ends with the next turn of the loop.
        loop = asyncio.get_running_loop()
        if work < 0.5:
            run["timer"] = loop.call_soon(self.end, name, "done")
        else:
            run["timer"] = loop.call_later(work / 1000 * self.factor, self.end, name, "done")
        self.running[name] = run
        self.log("start", task=name[0], run=name[1], fence=order["Fence"], labels=self.labels)
        return 200, {"ClockMs": self.clock()}

    async def hold(self, order):
        self.extend(order.get("UntilMs"))
        seen = order.get("LastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + min(order.get("WaitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.wake.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        running = [[name[0], name[1], "", self.percent(run)] for name, run in self.running.items()]
        return 200, {
            "ClockMs": self.clock(),
            "Running": running,
            "Ended": self.ended[:500],
            "born": self.born,
        }


# ---------------------------------------------------------------- proxy


class Proxy:
    """Forwards TCP connections to a port; `cut` resets or silences them and keeps new ones out."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay = 0.0
        self.pairs = set()
        self.open_again = asyncio.Event()
        self.open_again.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        if self.mode == "reset":
            return reset(writer)
        await self.open_again.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            return reset(writer)
        for side in (writer, far_writer):
            side.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (writer, far_writer)
        self.pairs.add(pair)
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        self.pairs.discard(pair)
        for side in pair:
            side.close()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self.open_again.wait()
                writer.write(data)
                await writer.drain()
            await self.open_again.wait()
            writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            writer.close()

    def cut(self, mode):
        """`reset`: connections are reset; `silent`: nothing passes, and what is held back passes later."""
        self.mode = mode
        if mode == "reset":
            for pair in list(self.pairs):
                for side in pair:
                    reset(side)
            self.pairs.clear()
        else:
            self.open_again.clear()

    def heal(self):
        self.mode = "pass"
        self.open_again.set()


def reset(writer):
    """Closes a connection with a reset."""
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


# ---------------------------------------------------------------- site


def free_port():
    """A port that nothing uses, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(18_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Instance:
    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.process = None
        self.front, self.ready, self.peer, self.metrics = (free_port() for _ in range(4))


class Site:
    """Store, workers and instances, and the record of what was seen."""

    def __init__(self, record_path):
        self.folder = tempfile.mkdtemp(prefix="almondhead-review-")
        self.record_path = record_path
        self.began = time.monotonic()
        self.events = []
        self.instances = {}
        self.workers = {}
        self.links = {}
        self.worker_links = {}
        self.tasks = []
        self.config_version = 0

    def log(self, who, event, **fields):
        self.events.append({"t": time.monotonic(), "who": who, "event": event, **fields})

    async def start(self, instances, workers, queues, cut_links=False, worker_proxies=False):
        """`instances`: (name, zone); `workers`: (id, zone, labels); `queues`: (prefix, priority, ms)."""
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing: run the build of deploy/system.toml first")
        self.store = Store()
        self.worker_store = await self.store.open()
        await self.put_config(queues)
        for name, zone in instances:
            self.instances[name] = Instance(name, zone)
        for name in self.instances:
            links = {}
            if cut_links:
                for other in self.instances.values():
                    if other.name != name:
                        proxy = await Proxy(other.peer).start()
                        self.links[(name, other.name)] = proxy
                        links[other.name] = proxy.port
            self.instances[name].store = await self.store.open(name, links)
        for worker_id, zone, labels in workers:
            port, listed_port = free_port(), None
            if worker_proxies:
                self.worker_links[worker_id] = await Proxy(port).start()
                listed_port = self.worker_links[worker_id].port
            await self.start_worker(worker_id, zone, labels, port, listed_port)
        for name in self.instances:
            await self.start_instance(name)
        for name in self.instances:
            await self.wait_ready(name)
        # Every instance knows the others and their workers by then.
        await asyncio.sleep(3)

    async def put_config(self, queues):
        self.config_version += 1
        routes = [
            {
                "Name": f"r-{prefix}",
                "Host": HOST,
                "PathPrefix": f"/{prefix}/",
                "Kind": "unsafe",
                "TimeoutMs": timeout_ms,
                "TargetDurationMs": 60,
                "Priority": priority,
                "Service": SERVICE,
                "MaxAttempts": 2,
                "Stretch": 1.6,
            }
            for prefix, priority, timeout_ms in queues
        ]
        services = [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 64, "EnforcesCapacity": True}]
        config = {"Version": self.config_version, "Routes": routes, "Services": services, "Limits": {}}
        await self.store.put("op", "config", json.dumps(config).encode())

    async def start_worker(self, worker_id, zone, labels, port=None, listed_port=None):
        settings = {
            "id": worker_id,
            "zone": zone,
            "labels": labels,
            "store": self.worker_store,
            "port": port or free_port(),
            "listed_port": listed_port,
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            os.path.abspath(__file__),
            "worker",
            json.dumps(settings),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        worker = {"process": process, "settings": settings, "up": asyncio.Event()}
        self.workers[worker_id] = worker
        self.tasks.append(asyncio.ensure_future(self.read_worker(worker)))
        await asyncio.wait_for(worker["up"].wait(), 20)

    async def read_worker(self, worker):
        while line := await worker["process"].stdout.readline():
            event = json.loads(line)
            self.events.append(event)
            worker["up"].set()

    async def slow_worker(self, worker_id, factor):
        port = self.workers[worker_id]["settings"]["port"]
        await request(port, "POST", "/stand-in/slow", body={"Factor": factor}, timeout=5)

    async def kill_worker(self, worker_id):
        worker = self.workers[worker_id]
        worker["process"].kill()
        await worker["process"].wait()
        self.log(worker_id, "killed")

    async def start_instance(self, name):
        instance = self.instances[name]
        settings = {
            "instance": name,
            "data_centre": instance.zone,
            "caller_address": f"127.0.0.1:{instance.front}",
            "peer_address": f"127.0.0.1:{instance.peer}",
            "operator_address": f"127.0.0.1:{instance.metrics}",
            "platform_address": f"127.0.0.1:{instance.store}",
            "executor_threads": 1,
            "leased_runs": {
                "ready_address": f"127.0.0.1:{instance.ready}",
                "lease_ms": HOLD_MAX_MS,
                "stop_grace_ms": 6000,
                "processor": {"share": 0.25, "cores": 1},
                "overload": "by_priority",
            },
        }
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        with open(os.path.join(self.folder, f"{name}.log"), "a") as output:
            instance.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--settings", path, stdout=output, stderr=output, cwd=ROOT
            )
        self.log(name, "started", pid=instance.process.pid)

    async def is_ready(self, name):
        try:
            status, _ = await request(self.instances[name].ready, "GET", "/v1/ready", timeout=2)
            return status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, name):
        until = time.monotonic() + 30
        while not await self.is_ready(name):
            if time.monotonic() > until:
                raise CannotRun(f"{name} is not ready after 30 s")
            await asyncio.sleep(0.1)

    async def kill_instance(self, name):
        self.instances[name].process.send_signal(signal.SIGKILL)
        await self.instances[name].process.wait()
        self.log(name, "killed")

    async def submit(self, name, prefix, job, spec, steps, limit_ms=CLIENT_LIMIT_MS):
        """Hands a job in at an instance; returns the status, or `broken` or `no answer`."""
        body = {"Spec": json.dumps(spec), "Steps": steps, "BestEffort": True}
        headers = {"Host": HOST, "X-Deadline-Ms": str(limit_ms)}
        self.log("client", "POST", job=job, at=name)
        try:
            status, text = await request(
                self.instances[name].front, "POST", f"/{prefix}/{job}", headers, body, limit_ms / 1000
            )
        except asyncio.TimeoutError:
            status, text = "no answer", ""
        except OSError:
            status, text = "broken", ""
        self.log("client", "answer", job=job, at=name, status=status, body=text)
        return status

    async def cancel(self, name, prefix, job):
        self.log("client", "DELETE", job=job, at=name)
        headers = {"Host": HOST, "X-Deadline-Ms": str(CLIENT_LIMIT_MS)}
        try:
            port = self.instances[name].front
            status, text = await request(port, "DELETE", f"/{prefix}/{job}", headers, timeout=1.5)
        except (OSError, asyncio.TimeoutError):
            status, text = "no answer", ""
        self.log("client", "answer to DELETE", job=job, at=name, status=status, body=text)
        return status

    def of_task(self, event=None):
        return sorted(
            (it for it in self.events if "task" in it and (event is None or it["event"] == event)),
            key=lambda it: it["t"],
        )

    def spans(self):
        """The runs: task, run, worker, start, end and how, by start; the end is None while a run goes on."""
        open_runs, spans = {}, []
        for event in sorted(self.events, key=lambda it: it["t"]):
            if event["event"] == "start" and "task" in event:
                span = [event["task"], event["run"], event["who"], event["t"], None, "goes on"]
                spans.append(span)
                open_runs[(event["who"], event["task"], event["run"])] = span
            elif event["event"] == "end":
                span = open_runs.pop((event["who"], event["task"], event["run"]), None)
                if span:
                    span[4:] = [event["t"], event["how"]]
            elif event["event"] == "killed":
                for key in [key for key in open_runs if key[0] == event["who"]]:
                    open_runs.pop(key)[4:] = [event["t"], "killed"]
        return [tuple(span) for span in spans]

    async def stop(self):
        for instance in self.instances.values():
            if instance.process and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        for worker in self.workers.values():
            if worker["process"].returncode is None:
                worker["process"].kill()
                await worker["process"].wait()
        for task in self.tasks:
            await asyncio.wait([task], timeout=1)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def write_record(self, verdict):
        events = self.events
        if len(self.of_task()) > MAX_TASK_LINES:
            events = [event for event in events if "task" not in event] + self.summary()
        with open(self.record_path, "w") as file:
            file.write("seconds since the start; who; what\n")
            for event in sorted(events, key=lambda it: it["t"]):
                fields = {k: v for k, v in event.items() if k not in ("t", "who", "event")}
                text = " ".join(f"{k}={v}" for k, v in fields.items())
                file.write(f"{event['t'] - self.began:9.3f}  {event['who']:<20} {event['event']} {text}\n")
            file.write("\n" + "\n".join(verdict) + "\n")

    def summary(self):
        """What the workers ran, a line for each job and worker, at the time of its first start."""
        rows = {}
        for task, _, worker, start, end, how in self.spans():
            job = task.split(".")[0]
            row = {"t": start, "who": worker, "event": "ran", "job": job, "starts": 0, "last_end": 0.0}
            row = rows.setdefault((job, worker), row)
            row["starts"] += 1
            row[how] = row.get(how, 0) + 1
            row["last_end"] = max(row["last_end"], round((end or self.began) - self.began, 3))
        return list(rows.values())


def run_case(folder, case):
    """Runs `case(site, has_trouble)`, which returns the lines that say how the rule was broken, or none."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        site = Site(os.path.join(folder, "record.txt"))
        broken, code = [], 2
        try:
            broken = await asyncio.wait_for(case(site, has_trouble), 110)
            code = 1 if broken else 0
            verdict = ["the rule was broken:", *broken] if broken else ["the rule held"]
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            verdict = [f"the case could not run: {error!r}"]
        finally:
            await site.stop()
        verdict.insert(0, f"TROUBLE={int(has_trouble)}")
        site.write_record(verdict)
        print("\n".join(verdict))
        return code

    sys.exit(asyncio.run(play()))


if __name__ == "__main__" and sys.argv[1:2] == ["worker"]:
    asyncio.run(Worker(json.loads(sys.argv[2])).run())
