"""Three fleet managers of the project as processes, each reached by members and operators through a proxy."""
import asyncio, json, os
from standins import ROOT, free_port, http

PROGRAMS = os.path.join(ROOT, "build-review")


class Proxy:
    """Stands at a manager's advertised address. `lose(request_line)` says whether the answer is lost on the way."""

    def __init__(self, port, target, record, lose):
        self.port, self.target, self.record, self.lose = port, target, record, lose

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        lost = False
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return

        async def forward():
            nonlocal lost
            while data := await reader.read(65536):
                line = data.split(b"\r\n", 1)[0].decode("latin1")
                if line.startswith(("POST", "GET")) and self.lose(line):
                    lost = True
                    self.record("proxy passes on", repr(line), "and will lose its answer")
                up_writer.write(data)
                await up_writer.drain()
            up_writer.close()

        async def back():
            while data := await up_reader.read(65536):
                if lost:
                    self.record("proxy loses the answer", repr(data.split(b"\r\n\r\n", 1)[-1].decode("latin1")[:300]))
                    writer.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
            writer.close()
        tasks = [asyncio.create_task(forward()), asyncio.create_task(back())]
        try:
            await asyncio.gather(*tasks)
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            for t in tasks:
                t.cancel()
            up_writer.close()
            writer.close()


class Fleet:
    """Fleet managers, as docs/fleet.md sets them up."""

    def __init__(self, record, tmp, processes, lose=lambda line: False, extra=""):
        self.record, self.tmp, self.processes = record, tmp, processes
        self.raft = [free_port() for _ in range(3)]
        self.bind = [free_port() for _ in range(3)]
        self.http = [free_port() for _ in range(3)]  # the proxies' ports
        self.proxies = [Proxy(self.http[i], self.bind[i], record, lose) for i in range(3)]
        self.file = os.path.join(tmp, "fleet.hcl")
        self.extra = extra
        self.managers = {}

    def addresses(self):
        return ",".join("127.0.0.1:%d" % p for p in self.http)

    async def start(self, configs):
        text = 'fleet "review" {\n  lease = "2s"\n  drift = "500ms"\n' + self.extra
        for i in range(3):
            text += ('  steward "%d" {\n    raft = "127.0.0.1:%d"\n    http = "127.0.0.1:%d"\n    http_bind = "127.0.0.1:%d"\n'
                     '    folder = "%s/steward-%d"\n  }\n' % (i + 1, self.raft[i], self.http[i], self.bind[i], self.tmp, i + 1))
        text += "}\n"
        with open(self.file, "w") as f:
            f.write(text)
        for p in self.proxies:
            await p.start()
        for i in range(3):
            init = await asyncio.create_subprocess_exec(
                PROGRAMS + "/tealcart-fleet-manager", "init", "--file", self.file, "--id", str(i + 1))
            if await init.wait() != 0:
                raise RuntimeError("init of a fleet manager failed")
        for i in range(3):
            await self.start_manager(i + 1, configs[i])

    async def start_manager(self, number, config):
        path = os.path.join(self.tmp, "manager-%d.json" % number)
        with open(path, "w") as f:
            json.dump(config, f)
        log = open(os.path.join(self.tmp, "manager-%d.log" % number), "a")
        self.managers[number] = await asyncio.create_subprocess_exec(
            PROGRAMS + "/tealcart-fleet-manager", "serve", "--file", self.file, "--id", str(number), "--config", path,
            stdout=log, stderr=log)
        self.processes.append(self)
        self.record("fleet manager", number, "started, process", self.managers[number].pid)

    async def stop(self):
        for m in self.managers.values():
            if m.returncode is None:
                m.kill()
                await m.wait()

    async def status(self, number=None):
        """The status as the leader has it, or as one manager has it; None if there is none."""
        for i in range(3):
            if number is not None and number != i + 1:
                continue
            try:
                code, body, _ = await http("127.0.0.1", self.bind[i], "GET", "/fleet/status", timeout=1)
            except (OSError, asyncio.TimeoutError):
                continue
            if code != 200:
                continue
            status = json.loads(body)
            if number is not None or (status["leader"] == status["steward"] and status["leader"]):
                return status
        return None

    async def wait(self, what, condition, seconds=30):
        for _ in range(int(seconds * 20)):
            status = await self.status()
            if status is not None and condition(status):
                return status
            await asyncio.sleep(0.05)
        raise RuntimeError("waited in vain for: " + what)

    async def command(self, *words, who="operator"):
        """An operators' command; returns its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            PROGRAMS + "/tealcart", *words, "--stewards", self.addresses(), "--asker", who,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        out, _ = await process.communicate()
        self.record(who, "runs: tealcart", " ".join(words), "-> status", process.returncode, repr(out.decode()))
        return process.returncode, out.decode()
