"""Small stand-ins on loopback for the platform around one query router: data nodes, discovery, clients.

They follow PROTOCOL.md. Everything runs in one asyncio loop; the router is a process of its own that is
started with the command of deploy/balancer.toml. Standard library only.
"""
import asyncio, json, os, random, re, shutil, signal, socket, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def run_command():
    """The `run` command of deploy/balancer.toml."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
        for line in f:
            m = re.match(r'run\s*=\s*"(.*)"', line)
            if m:
                return m.group(1)
    raise SystemExit(2)


given_ports = set()


def free_port(host="127.0.0.1"):
    """A free port below the range that outgoing connections take theirs from; none is given twice."""
    for _ in range(1000):
        port = random.randrange(15000, 30000)
        if port in given_ports:
            continue
        with socket.socket() as s:
            try:
                s.bind((host, port))
            except OSError:
                continue
        given_ports.add(port)
        return port
    raise RuntimeError("no free port")


class Record:
    def __init__(self, path):
        self.f = open(path, "w")
        self.t0 = time.time()

    def __call__(self, *words):
        line = "%8.3f %s" % (time.time() - self.t0, " ".join(str(w) for w in words))
        self.f.write(line + "\n")
        self.f.flush()


def frame(letter, rest):
    if isinstance(rest, str):
        rest = rest.encode()
    return (len(rest) + 1).to_bytes(4, "little") + letter.encode() + rest


class Node:
    """A data node. `on_part(node, part)` is called for each part; it returns (delay, end, value) or None for silence."""

    def __init__(self, name, cell, record, on_part, host="127.0.0.1"):
        self.name, self.cell, self.record, self.on_part, self.host = name, cell, record, on_part, host
        self.lifecycle, self.started = "up", 0
        self.parts = []  # (time, id, shard, list, text)
        self.cancels = []
        self.conns = set()
        self.quiet = False  # log nothing per part

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.conns.add(writer)
        try:
            while True:
                head = await reader.readexactly(4)
                body = await reader.readexactly(int.from_bytes(head, "little"))
                self.frame(body[:1].decode("latin1"), body[1:], writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()

    def frame(self, letter, rest, writer):
        now = time.time()
        if letter == "R":
            while rest:
                line, rest = rest.split(b"\n", 1)
                pid, shard, opts, length = line.decode().split(" ")
                text, rest = rest[: int(length)], rest[int(length):]
                part = dict(at=now, id=pid, shard=int(shard), opts=dict(o.split("=", 1) for o in opts.split(",")),
                            text=text, node=self.name)
                self.parts.append(part)
                if not self.quiet:
                    self.record("node", self.name, "gets R", pid, opts)
                reply = self.on_part(self, part)
                if reply is not None:
                    asyncio.get_running_loop().call_later(reply[0], self.reply, writer, pid, reply[1], reply[2])
        elif letter == "A":
            self.cancels.append((now, rest.decode()))
            if not self.quiet:
                self.record("node", self.name, "gets A", rest.decode())
        elif letter in "GT":
            writer.write(frame(letter, "OK" if letter == "G" else "-"))
        else:
            writer.write(frame("N", "unknown letter"))
            writer.close()

    def reply(self, writer, pid, end, value):
        if writer.is_closing():
            return
        if not self.quiet:
            self.record("node", self.name, "answers", pid, end)
        writer.write(frame("Y", pid.encode() + b" " + end.encode() + b" 1 -\n" + value.encode()))

    def entry(self):
        return {"instanceId": self.name, "hostPort": "%s:%d" % (self.host, self.port), "zone": "a",
                "machineType": "m", "cell": self.cell, "lifecycle": self.lifecycle, "weight": 1.0,
                "startedAtMs": self.started}


class Discovery:
    """The agent: whole list, and watches that tell changes. Silent (accepts, answers nothing) while `down`."""

    def __init__(self, nodes, record, host="127.0.0.1"):
        self.nodes, self.record, self.host = nodes, record, host
        self.generation, self.changed, self.down = 1, asyncio.Event(), False
        self.log = {}  # generation -> entries

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def tell(self, *nodes):
        """A change of these nodes' entries."""
        self.generation += 1
        self.log[self.generation] = [n.entry() for n in nodes]
        self.record("discovery has generation", self.generation, [(n.name, n.lifecycle) for n in nodes])
        self.changed.set()
        self.changed = asyncio.Event()

    async def until_up(self):
        while self.down:
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                m = re.match(r"/api/targets\?index=(\d+)&wait=(\d+)", target)
                await self.until_up()
                if m and int(m.group(1)) <= self.generation and all(
                        g in self.log for g in range(int(m.group(1)) + 1, self.generation + 1)):
                    index, wait = int(m.group(1)), min(int(m.group(2)), 60000) / 1000
                    if index == self.generation:
                        try:
                            await asyncio.wait_for(self.changed.wait(), wait)
                        except asyncio.TimeoutError:
                            pass
                    await self.until_up()
                    entries = [e for g in range(index + 1, self.generation + 1) for e in self.log[g]]
                    body = {"generation": self.generation, "reset": False, "instances": entries}
                else:
                    body = {"generation": self.generation, "reset": True,
                            "instances": [n.entry() for n in self.nodes if n.lifecycle != "removed"]}
                out = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(out) + out)
                self.record("discovery answers", target, "with generation", body["generation"],
                            [(e["instanceId"], e["lifecycle"]) for e in body["instances"]])
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


class Router:
    """One query router, started as the platform does."""

    def __init__(self, record, config, tmp, args=""):
        self.record, self.config, self.tmp, self.args = record, config, tmp, args
        self.path = os.path.join(tmp, "config.json")
        self.logs = 0

    def write_config(self):
        with open(self.path + ".new", "w") as f:
            json.dump(self.config, f)
        os.rename(self.path + ".new", self.path)

    async def start(self):
        self.write_config()
        env = dict(os.environ, ROUTER_NAME=self.config["name"], ROUTER_LISTEN=self.config["listen"],
                   ROUTER_DISCOVERY=self.config["discovery"], ROUTER_CONFIG=self.path, TMPDIR=self.tmp)
        self.logs += 1
        log = open(os.path.join(self.tmp, "router.%d.log" % self.logs), "w")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command() + self.args, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record("router", self.config["name"], "started, process", self.process.pid)

    def signal(self, number):
        self.record("router gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self):
        if getattr(self, "process", None) and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_text(self):
        out = ""
        for i in range(1, self.logs + 1):
            with open(os.path.join(self.tmp, "router.%d.log" % i), errors="replace") as f:
                out += f.read()
        return out


async def http(host, port, method, path, headers=(), body=b"", connection=None, timeout=None):
    """One request; returns (status, body, close). Status 0: the connection ended without a whole answer."""
    reader, writer = connection or await asyncio.open_connection(host, port)
    head = "%s %s HTTP/1.1\r\nHost: service.internal\r\n" % (method, path)
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    if method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    writer.write(head.encode() + b"\r\n" + body)
    try:
        return await asyncio.wait_for(read_answer(reader), timeout)
    except asyncio.TimeoutError:  # is an OSError, too
        raise
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0, b"", True
    finally:
        if connection is None:
            writer.close()


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    status = int(head.split(" ")[1])
    fields = {k.lower(): v.strip() for k, v in (l.split(":", 1) for l in head.split("\r\n")[1:] if ":" in l)}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return status, body, fields.get("connection", "").lower() == "close"


def query_body(shards, text="c41e77d0", weights=None, **more):
    weights = weights or [1.0 / len(shards)] * len(shards)
    return json.dumps(dict({"segments": [{"segment": s, "boost": w} for s, w in zip(shards, weights)],
                            "text": text}, **more)).encode()


async def ready(port, timeout=30, host="127.0.0.1"):
    end = time.time() + timeout
    while time.time() < end:
        try:
            status, _, _ = await http(host, port, "GET", "/-/ready", timeout=2)
            if status == 200:
                return True
        except (ConnectionError, OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.02)
    return False


def base_settings(**changes):
    """Settings like those of a small deployment; values as in the pages' examples and moonah-depot's brief."""
    settings = {
        "azs": ["a"], "balancers": 1, "discovery": "push", "family": "fanout", "step": 5.0,
        "host_types": ["m"], "me": 0, "my_zone": 0, "counted_by": "request",
        "callers": {"marks_retry": False},
        "extra": {"call_cost": 0.0, "complete_from": [1.0, 1.0, 1.0], "floor_by_class": [0.4, 1.0, 1.0],
                  "parts_a_call": 1, "places": 6, "ranges": 6, "second_step": [0, 0, 0],
                  "short_worth": [0.95, 1.0, 1.0], "warm_keys": False, "width": 3},
        "limits": {"connect_timeout": 250.0, "idle_close": 30000.0, "max_retry_after": 500.0,
                   "may_cancel": True, "most_held": 400, "probing": True, "retry_after": True,
                   "second_copies": True, "send_cap": 3, "streams_per_conn": 32},
        "load_info": {"fields": ["waiting", "active"], "via": "piggyback"},
        "safety": {"ask_within": 10000.0, "cold": 18000.0, "cold_from": 0.19, "drain_grace": 1000.0,
                   "fall": 2000.0, "grace_to_answer": 20.0, "tip_multiple": 4.0},
        "services": [
            {"name": "stock-search", "promise": 2000.0, "deadline": 4000.0, "semantics": "repeatable",
             "late_worth": 0.3, "value": 5.0, "streamed": False, "key_scope": "all", "repeat_window": 5000.0},
            {"name": "expiry-report", "promise": 3000.0, "deadline": 10000.0, "semantics": "repeatable",
             "late_worth": 0.1, "value": 3.0, "streamed": False, "key_scope": "all", "repeat_window": 5000.0},
            {"name": "stock-adjust", "promise": 2000.0, "deadline": 5000.0, "semantics": "by_key",
             "late_worth": 0.0, "value": 1.0, "streamed": False, "key_scope": "all", "repeat_window": 5000.0}],
        "tier": 0, "tiers": ["ledger"], "weight_source": "silent"}
    for path, value in changes.items():
        at = settings
        keys = path.split("__")
        for key in keys[:-1]:
            at = at[int(key)] if isinstance(at, list) else at[key]
        at[int(keys[-1]) if isinstance(at, list) else keys[-1]] = value
    return settings


def make_config(settings, listen, discovery, nodes=(), generation=0, memory_mb=192, sockets=1024):
    return {"name": "n0", "listen": "127.0.0.1:%d" % listen, "discovery": "127.0.0.1:%d" % discovery,
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"generation": generation, "reset": True, "instances": [n.entry() for n in nodes]},
            "settings": settings}


def main(folder, case):
    """Runs `case(record, trouble, tmp)`, which returns the list of breaks; exit 0 held, 1 broken, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    tmp = tempfile.mkdtemp(prefix="review.")
    routers = []

    def ended(*_):  # SIGTERM ends the processes that were started, too
        raise KeyboardInterrupt
    signal.signal(signal.SIGTERM, ended)
    try:
        async def guarded():
            try:
                return await asyncio.wait_for(case(record, trouble, tmp, routers), 110)
            finally:
                for router in routers:
                    await router.stop()
        breaks = asyncio.run(guarded())
    except BaseException as e:  # noqa: the case could not run
        import traceback
        record("the case could not run:", repr(e))
        record(traceback.format_exc())
        print("the case could not run:", repr(e))
        sys.exit(2)
    finally:
        shutil.rmtree(tmp, ignore_errors=True)
    for b in breaks:
        record("RULE BROKEN:", b)
        print("RULE BROKEN:", b)
    record("result:", "broken" if breaks else "held")
    print("broken" if breaks else "held")
    sys.exit(1 if breaks else 0)
