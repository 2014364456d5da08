"""Starts the project's daemons beside the stand-ins, and calls them."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from store import Store
from wire import request
from workers import Worker, World

ROOT = Path(__file__).resolve().parent.parent.parent
HOST, KEY = "jobs.example", "key-of-maison"
ZONES = ["dkr-plateau", "dkr-almadies", "dkr-pikine"]
# Of a small deployment with three daemons.
SETTINGS = """node = "{name}"
role = "scheduler"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "dkr"
port_range = [7000, 7015]
seeds = []
bootstrap = {bootstrap}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "recover", "sched", "tenants", "platform"]
orders = "call"
[listen]
front = "{ip}:8521"
ready = "{ip}:8523"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_stretch_ms = 5000
recover_s = 12
hold_max_ms = 6000
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
[platform]
addr = "{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
min_ttl_ms = 1000
"""


class Record:
    """The lines of record.txt, with the seconds since the beginning."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Daemon:
    def __init__(self, folder, command, number, ip, store):
        self.folder, self.command, self.ip = folder, command, ip
        self.number, self.store = number, store
        self.name, self.process = f"front-{number}", None
        self.file = folder / f"{self.name}.toml"

    def start(self, first):
        self.file.write_text(SETTINGS.format(
            name=self.name, ip=self.ip, zone=ZONES[self.number % 3],
            bootstrap="true" if first else "false", store=self.store))
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.command, stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""),
                     "HEATHERSADDLE_NODE_FILE": str(self.file)})

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def free_network():
    """A loopback network of which the daemons' ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 2, 3):
                for port in (7000, 8521, 8523, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class Deployment:
    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store, self.world = Store(self.record), World(self.record)
        self.net, self.version, self.daemons = free_network(), 0, []
        self.tasks = []
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        self.command = re.search(r'^run = "(.*)"$', deploy,
                                 re.MULTILINE).group(1).split()
        self.command[0] = str(ROOT / self.command[0])

    def publish(self, routes):
        """Writes a manifest with these routes as the operator does."""
        self.version += 3
        defaults = {"host": HOST, "service": "render", "priority": 1,
                    "max_attempts": 3, "stretch": 5.0,
                    "latency_slo_ms": 60000, "public": False}
        self.store.put("keyed.op", "config", {
            "version": self.version,
            "routes": [{**defaults, "name": name, "path_prefix": f"/{name}/",
                        **more} for name, more in routes.items()],
            "services": [{"name": "render", "enforces_capacity": True}],
            "limits": {}, "tenants": [{"name": "maison", "api_keys": [KEY],
                                       "reserved": {"gpu": 8}}]})
        self.record(f"operator: manifest {self.version} is acknowledged; "
                    f"routes {json.dumps(routes)}")

    async def start(self, workers):
        """`workers`: rows of kind, rack and capacity."""
        port = await self.store.server.up(f"{self.net}.100", 0)
        for number, (kind, rack, capacity) in enumerate(workers):
            worker = Worker(self.world, self.store, f"i-{number:010x}",
                            f"{self.net}.101", ZONES[number % 3], kind, rack,
                            capacity)
            await worker.start()
        self.tasks.append(asyncio.create_task(self.world.tick()))
        for number in range(3):
            daemon = Daemon(self.folder, self.command, number,
                            f"{self.net}.{number + 1}",
                            f"{self.net}.100:{port}")
            self.daemons.append(daemon)
            daemon.start(True)
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([await self.is_ready(d) for d in self.daemons]):
                break
        else:
            raise RuntimeError("the daemons did not become ready")
        await asyncio.sleep(2)
        self.record(f"{len(workers)} workers and 3 daemons are up")

    @staticmethod
    async def is_ready(daemon):
        answer = await request(f"{daemon.ip}:8523", "GET",
                               "/heathersaddle/readiness", {}, limit=1)
        return answer is not None and answer[0] == 200

    async def call(self, daemon, method, path, body=b""):
        return await request(
            f"{daemon.ip}:8521", method, path,
            {"Host": HOST, "X-Heathersaddle-Key": KEY,
             "X-Heathersaddle-Deadline-Ms": "3000",
             "Content-Type": "application/json"}, body)

    async def submit(self, queue, job, tries=5):
        """Hands a job in as a client does; returns whether it is accepted."""
        self.world.jobs[job.id] = job
        for number in range(tries):
            daemon = self.daemons[(int(job.id, 16) + number) % 3]
            answer = await self.call(daemon, "POST", f"/{queue}/{job.id}",
                                     job.body())
            status = answer[0] if answer else None
            job.statuses.append(status)
            self.record(f"POST {queue}/{job.id} at {daemon.name}: "
                        f"{status or 'no answer'}")
            if status and 200 <= status < 300:
                job.accepted_at = time.monotonic()
                return True
            if status and status not in (429, 502, 503, 504):
                return False
            await asyncio.sleep(0.7)
        return False

    async def ask(self, queue, job, daemon=None):
        """Asks for the state; returns the status, and the state if 200."""
        daemon = daemon or self.daemons[random.randrange(3)]
        answer = await self.call(daemon, "GET", f"/{queue}/{job.id}")
        if not answer:
            return None, None
        state = json.loads(answer[1]).get("state") if answer[0] == 200 \
            else None
        if state and state != job.state:
            job.state, job.state_at = state, time.monotonic()
            self.record(f"GET {queue}/{job.id} at {daemon.name}: {state}")
        return answer[0], state

    def stop(self):
        for daemon in self.daemons:
            daemon.kill()
        for task in self.tasks:
            task.cancel()
        for worker in self.world.workers:
            worker.server.down()
        self.store.server.down()
        for entry in self.world.starts:
            self.record.file.write(
                f"{entry[0] - self.record.began:8.3f} start on {entry[1]}: "
                f"{entry[2]} run {entry[3]}\n")
        for entry in self.world.ends:
            self.record.file.write(
                f"{entry[0] - self.record.began:8.3f} end on {entry[1]}: "
                f"{entry[2]} run {entry[3]} {entry[4]}\n")
        self.record.file.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case_folder, scenario, limit_s=115):
    """Runs scenario(deployment, trouble) -> (held, text); returns the exit
    code of a case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = None
        try:
            deployment = Deployment(case_folder)
            held, text = await asyncio.wait_for(
                scenario(deployment, trouble), limit_s)
            deployment.record(("held: " if held else "broken: ") + text)
            print(("held: " if held else "broken: ") + text)
            return 0 if held else 1
        except Exception as error:  # pylint: disable=broad-except
            print(f"could not run: {error!r}")
            if deployment:
                deployment.record(f"could not run: {error!r}")
            return 2
        finally:
            if deployment:
                deployment.stop()

    return asyncio.run(run())
