"""Stand-ins and process control for the cases 6 to 10 of review/. Standard library only, loopback only.

Data nodes, discovery and clients follow PROTOCOL.md. Everything that a case sends, gets answered or sees run is
written to record.txt in the case's folder, with the time since the start of the case in seconds.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROUTER = os.path.join(ROOT, "build", "tealcart")  # left by the build of the deploy file
PROGRAMS = os.path.join(ROOT, "build-review-2")  # left by review/build-2.sh, as are
XDS_PROGRAMS = os.path.join(ROOT, "build-review-2-xds")
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RUN_LIMIT = 115  # seconds


class CouldNotRun(Exception):
    """The case can't be judged: a program is missing, or the set-up didn't come about."""


class Case:
    """One run of a case: its record, its folder for temporary files, its processes."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.log = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.temp = tempfile.mkdtemp(prefix="tealcart-review-")
        self.processes = []
        self.closers = []

    def now(self):
        return time.monotonic() - self.began

    def record(self, text):
        with self.lock:
            if not self.log.closed:
                self.log.write(f"{self.now():8.3f} {text}\n")
                self.log.flush()

    def path(self, name):
        return os.path.join(self.temp, name)

    def write(self, name, text):
        with open(self.path(name), "w", encoding="utf-8") as file:
            file.write(text)
        return self.path(name)

    def start(self, name, command, **environment):
        """Starts a process in a session of its own, so that it can be ended by its id alone."""
        if not os.path.exists(command[0]):
            raise CouldNotRun(f"{command[0]} is missing")
        log = open(self.path(name + ".log"), "ab")
        process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT,
                                   env={**os.environ, **environment})
        log.close()
        self.processes.append(process)
        self.record(f"started {name}")
        return process

    def signal(self, name, process, number):
        self.record(f"{signal.Signals(number).name} to {name}")
        process.send_signal(number)

    def call(self, command, timeout=30):
        """Runs a command of the project to its end. Returns its status and what it printed."""
        if not os.path.exists(command[0]):
            raise CouldNotRun(f"{command[0]} is missing")
        shown = " ".join([os.path.basename(command[0])] + command[1:])
        self.record(f"command: {shown}")
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, cwd=ROOT,
                                   stdin=subprocess.DEVNULL, text=True)
        self.processes.append(process)
        try:
            printed, _ = process.communicate(timeout=timeout)
        except subprocess.TimeoutExpired:
            process.kill()
            printed, _ = process.communicate()
            self.record(f"  it had not ended after {timeout} s and was ended: {printed.strip()}")
            return None, printed
        for line in printed.strip().splitlines():
            self.record(f"  {line}")
        self.record(f"  status {process.returncode}")
        return process.returncode, printed

    def end(self):
        for close in reversed(self.closers):
            try:
                close()
            except OSError:
                pass
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.temp, ignore_errors=True)
        with self.lock:
            self.log.close()


def run(folder, body):
    """Runs `body(case)`, which returns whether the rule held, and exits with the status of the case."""
    case = Case(folder)
    signal.signal(signal.SIGALRM, lambda *_: (_ for _ in ()).throw(CouldNotRun("the case took too long")))
    signal.alarm(RUN_LIMIT)
    try:
        held = body(case)
        status = HELD if held else BROKEN
        case.record("the rule held" if held else "THE RULE WAS BROKEN")
    except CouldNotRun as reason:
        case.record(f"the case could not run: {reason}")
        status = COULD_NOT_RUN
    except Exception as failure:  # a fault of the script is not one of the project
        case.record(f"the case could not run: {type(failure).__name__}: {failure}")
        status = COULD_NOT_RUN
    finally:
        signal.alarm(0)
        case.end()
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[status])
    sys.stdout.flush()
    os._exit(status)


def wait_for(what, condition, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise CouldNotRun(f"{what} did not come about within {seconds} s")


_given_ports = set()


def free_ports(count):
    """Ports that nobody listens at, below the range from which the system takes those of outgoing connections."""
    ports = []
    for port in random.sample(range(15000, 30000), 1000):
        if len(ports) == count:
            break
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            ports.append(port)
    return ports


def listen(port=None):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port or free_ports(1)[0]))
    listener.listen(256)
    return listener


def in_thread(function, *arguments):
    thread = threading.Thread(target=function, args=arguments, daemon=True)
    thread.start()
    return thread


def get(port, path, body=None, headers=None, timeout=5):
    """One request on a connection of its own. Returns status and body, or (0, reason)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request("GET" if body is None else "POST", path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as failure:
        return 0, f"{type(failure).__name__}: {failure}"
    finally:
        connection.close()


class Part:
    """A part that a data node received."""

    def __init__(self, at, query_id, shard):
        self.at, self.query_id, self.shard = at, query_id, shard


class DataNode:
    """A data node: answers every part with a value after `delay` seconds."""

    def __init__(self, case, name, delay=0.0):
        self.case, self.name, self.delay = case, name, delay
        self.listener = listen()
        self.port = self.listener.getsockname()[1]
        self.parts = []
        self.sockets = []
        self.lock = threading.Lock()
        case.closers.append(self.close)
        in_thread(self.accept)

    def close(self):
        """Ends as a process does: connections are reset, new ones refused."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            sockets, self.sockets = self.sockets, []
        for each in sockets:
            try:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            each.close()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.sockets.append(connection)
            in_thread(self.serve, connection)

    def read(self, connection, size):
        data = bytearray()
        while len(data) < size:
            chunk = connection.recv(min(65536, size - len(data)))
            if not chunk:
                raise OSError("closed")
            data += chunk
        return bytes(data)

    def serve(self, connection):
        sending = threading.Lock()

        def send(frame_type, rest):
            with sending:
                connection.sendall(struct.pack("<I", len(rest) + 1) + frame_type + rest)

        def answer(part, shard):
            if self.delay:
                time.sleep(self.delay)
            try:
                send(b"Y", f"{part} OK 1 -\nvalue-{shard}-of-{part}".encode())
            except OSError:
                pass

        try:
            while True:
                (length,) = struct.unpack("<I", self.read(connection, 4))
                frame = self.read(connection, length)
                if frame[:1] in b"GT":
                    send(frame[:1], b"OK" if frame[:1] == b"G" else b"-")
                if frame[:1] != b"R":
                    continue
                rest = frame[1:]
                while rest:
                    line, rest = rest.split(b"\n", 1)
                    words = line.decode().split(" ")
                    part, shard, text = words[0], words[1], int(words[3])
                    rest = rest[text:]
                    with self.lock:
                        self.parts.append(Part(self.case.now(), part.rsplit(".", 1)[0], int(shard)))
                    self.case.record(f"{self.name} received part {part}, {words[2]}")
                    in_thread(answer, part, shard)
        except (OSError, ValueError):
            connection.close()


class Discovery:
    """Discovery with long polls, as on PROTOCOL.md. While it is down it refuses connections."""

    def __init__(self, case, entries):
        self.case = case
        self.entries = dict(entries)  # by id
        self.generation = 1
        self.changes = []  # generation and entry
        self.condition = threading.Condition()
        self.listener = listen()
        self.port = self.listener.getsockname()[1]
        self.sockets = []
        case.closers.append(self.down)
        in_thread(self.accept, self.listener)

    def known(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def down(self):
        listener, self.listener = self.listener, None
        if listener is None:
            return
        try:
            listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        listener.close()
        with self.condition:
            sockets, self.sockets = self.sockets, []
        for each in sockets:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def up(self):
        self.listener = listen(self.port)
        in_thread(self.accept, self.listener)

    def tell(self, entry_id, **changed):
        with self.condition:
            entry = {**self.entries[entry_id], **changed}
            if entry["lifecycle"] == "removed":
                del self.entries[entry_id]
            else:
                self.entries[entry_id] = entry
            self.generation += 1
            self.changes.append((self.generation, entry))
            self.condition.notify_all()
        self.case.record(f"discovery has list {self.generation}: {entry_id} {entry['lifecycle']}")

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self.condition:
                self.sockets.append(connection)
            in_thread(self.serve, connection)

    def serve(self, connection):
        received = b""
        try:
            while True:
                while b"\r\n\r\n" not in received:
                    chunk = connection.recv(4096)
                    if not chunk:
                        return
                    received += chunk
                head, received = received.split(b"\r\n\r\n", 1)
                target = head.split(b" ")[1].decode()
                body = json.dumps(self.answer(target)).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: " + str(len(body)).encode() +
                                   b"\r\n\r\n" + body)
        except OSError:
            pass
        finally:
            connection.close()

    def answer(self, target):
        asked = dict(part.split("=") for part in target.partition("?")[2].split("&") if "=" in part)
        with self.condition:
            if "index" not in asked or int(asked["index"]) < 1 or int(asked["index"]) > self.generation:
                return self.known()
            index = int(asked["index"])
            self.condition.wait_for(lambda: self.generation > index, int(asked.get("wait", 0)) / 1000)
            newer = [entry for generation, entry in self.changes if generation > index]
            return {"generation": self.generation, "reset": False, "instances": newer}


class Proxy:
    """A TCP proxy to one port. While it is cut, connections are reset and new ones are closed at once."""

    def __init__(self, case, name, port):
        self.case, self.name, self.target = case, name, port
        self.is_cut = False
        self.drops_answers = False
        self.pairs = []
        self.lock = threading.Lock()
        self.listener = listen()
        self.port = self.listener.getsockname()[1]
        case.closers.append(self.close)
        in_thread(self.accept)

    def close(self):
        self.listener.close()
        self.cut()

    def cut(self):
        self.is_cut = True
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for each in pair:
                try:
                    each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                each.close()

    def heal(self):
        self.is_cut = False

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            if self.is_cut:
                near.close()
                continue
            try:
                far = socket.create_connection(("127.0.0.1", self.target), 2)
                far.settimeout(None)
            except OSError:
                near.close()
                continue
            for each in (near, far):
                each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.pairs.append((near, far))
            if self.is_cut:  # since it was looked at
                self.cut()
            in_thread(self.copy, near, far, False)
            in_thread(self.copy, far, near, True)

    def copy(self, source, target, is_answer):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if is_answer and self.drops_answers:
                    self.case.record(f"{self.name} drops an answer of {len(data)} bytes")
                    continue
                target.sendall(data)
        except OSError:
            pass
        for each in (source, target):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            each.close()


def entry(node, place, zone="a", lifecycle="up"):
    return {"instanceId": node.name, "hostPort": f"127.0.0.1:{node.port}", "zone": zone, "machineType": "m1",
            "cell": place, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}


def settings(places, width, ranges):
    """The settings of a small deployment; classes and times are those of examples/router.json."""
    return {
        "balancers": 1, "discovery": "push", "step": 5.0,
        "extra": {"places": places, "ranges": ranges, "width": width, "parts_a_call": 4,
                  "floor_by_class": [0.4, 1.0], "complete_from": [1.0, 1.0], "second_step": [0, 0]},
        "limits": {"connect_timeout": 250.0, "idle_close": 30000.0, "streams_per_conn": 100,
                   "most_held": 400, "send_cap": 3, "may_cancel": True, "second_copies": True,
                   "retry_after": True, "max_retry_after": 500.0},
        "safety": {"drain_grace": 1000.0, "cold_from": 0.2, "cold": 10000.0, "tip_multiple": 3.0, "fall": 2000.0},
        "services": [
            {"name": "search", "promise": 1000.0, "deadline": 3000.0, "semantics": "repeatable", "late_worth": 0.3},
            {"name": "adjust", "promise": 1000.0, "deadline": 3000.0, "semantics": "by_key",
             "repeat_window": 5000.0}]}


def router_config(case, name, port, discovery, setting):
    return case.write(name + ".json", json.dumps({
        "name": name, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 0, "reset": True, "instances": []}, "settings": setting}))


def start_router(case, name, port, discovery, setting, operators_file=None):
    """Starts a router with the command of the deploy file and waits until it is ready."""
    config = router_config(case, name, port, discovery, setting)
    environment = {"ROUTER_NAME": name, "ROUTER_LISTEN": f"127.0.0.1:{port}",
                   "ROUTER_DISCOVERY": f"127.0.0.1:{discovery.port}", "ROUTER_CONFIG": config}
    if operators_file:
        environment["TEALCART_FILE"] = operators_file
    process = case.start(name, [ROUTER], **environment)
    wait_for(f"{name} ready", lambda: get(port, "/-/ready")[0] == 200)
    return process


_query_number = [0]


def query(case, port, shards, query_class="search", deadline_ms=2000, text="c41e77d0"):
    """Sends one query and waits for its answer. Returns status and body."""
    _query_number[0] += 1
    query_id = f"{os.getpid():x}-{_query_number[0]:x}"
    body = json.dumps({"segments": [{"segment": shard, "boost": 1.0 / len(shards)} for shard in shards],
                       "text": text})
    headers = {"X-Request-Id": query_id, "X-Deadline-Ms": str(deadline_ms), "Idempotency-Key": "k" + query_id}
    case.record(f"query {query_id} to port {port}: {query_class}, shards {shards}")
    status, answer = get(port, "/" + query_class, body, headers, deadline_ms / 1000 + 1)
    case.record(f"query {query_id} answered {status}: {answer[:200]}")
    return status, answer


class FleetManagers:
    """Three fleet managers with a file of their own. `attributes` are those of the block `fleet`. Discovery is one
    for all, or a list with the agent of each manager's machine."""

    def __init__(self, case, discovery, setting, attributes, blocks=""):
        self.case = case
        ports = free_ports(6)
        self.http = ports[3:]
        text = 'fleet "review" {\n' + "".join(f"  {key} = {value}\n" for key, value in attributes.items()) + blocks
        for i in range(3):
            text += (f'  steward "{i + 1}" {{\n    raft = "127.0.0.1:{ports[i]}"\n'
                     f'    http = "127.0.0.1:{self.http[i]}"\n    folder = "{case.path(f"steward-{i + 1}")}"\n  }}\n')
        self.file = case.write("fleet.hcl", text + "}\n")
        agents = discovery if isinstance(discovery, list) else [discovery] * 3
        self.configs = [router_config(case, f"manager-{i + 1}", 1, agent, setting) for i, agent in enumerate(agents)]
        self.program = os.path.join(PROGRAMS, "tealcart-fleet-manager")
        self.command = os.path.join(PROGRAMS, "tealcart-fleet")
        for i in range(3):
            status, printed = case.call([self.program, "init", "--file", self.file, "--id", str(i + 1)])
            if status != 0:
                raise CouldNotRun(f"fleet manager {i + 1} was not set up: {printed}")
        self.processes = [self.serve(i) for i in range(3)]
        wait_for("a leader", self.leader)

    def serve_command(self, i):
        return [self.program, "serve", "--file", self.file, "--id", str(i + 1), "--config", self.configs[i]]

    def serve(self, i):
        return self.case.start(f"fleet-manager-{i + 1}", self.serve_command(i))

    def restart(self):
        for i, process in enumerate(self.processes):
            self.case.signal(f"fleet-manager-{i + 1}", process, signal.SIGTERM)
        for process in self.processes:
            process.wait(10)
        self.processes = [self.serve(i) for i in range(3)]
        wait_for("a leader", self.leader)

    def status(self, path="/fleet/status"):
        """The state as the leader has it, or None."""
        for port in self.http:
            status, body = get(port, path, timeout=1)
            if status == 200:
                state = json.loads(body)
                if state["leader"] == state["steward"]:
                    return state
        return None

    def leader(self):
        state = self.status()
        return state["leader"] if state else None

    def tealcart(self, *arguments, stewards=None, timeout=30):
        """Runs an operator's command. Returns its status and what it printed."""
        addresses = ",".join(f"127.0.0.1:{port}" for port in stewards or self.http)
        return self.case.call([self.command, *arguments, "--stewards", addresses], timeout)
