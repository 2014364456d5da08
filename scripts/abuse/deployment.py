"""A deployment on loopback: daemons as processes beside a simulated store and
simulated workers, and the measurement of what each daemon occupies."""

import asyncio
import json
import os
import random
import shutil
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path

from soak.platform import FINAL_STATES, Job, Store, Worker, World
from soak.wire import Client

WORKER_COUNT = 3
TASK_DURATION_S = 0.05
KEY = "key"
CALLER_PORT, READINESS_PORT, METRICS_PORT, PEER_PORT = 8521, 8523, 9464, 7000
# Limits of single requests and of the waits below. They only end a test whose
# daemon does not answer; no test judges a time.
REQUEST_TIMEOUT_S = 3
WAIT_TIMEOUT_S = 25
SAMPLE_INTERVAL_S = 0.02
# Reading the table of all connections of the machine is expensive.
QUEUES_INTERVAL_S = 0.1

SETTINGS = """node = "{name}"
ip = "{ip}"
zone = "dc1"
port_range = [7000, 7015]
[listen]
front = "{ip}:8521"
ready = "{ip}:8523"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}
max_header_bytes = 16384
max_body_bytes = 262144
header_timeout_ms = 3000
idle_timeout_ms = 15000
[bounds]
hold_max_ms = 6000
stop_ms = 200
gang_ms = 3000
status_s = 120
grace_s = 6
[platform]
addr = "{store}"
"""


class AnyJobs(World):
    """Runs tasks of all jobs, including those of the misbehaving clients."""

    def __init__(self, seed):
        super().__init__(seed)
        self.any_job = Job("", random.Random(seed))
        self.any_job.is_gang, self.any_job.gpus = False, 0
        self.started_jobs = set()

    def job_of(self, task):
        return self.any_job

    def on_start(self, worker, run, call):
        self.started_jobs.add(run.task.split(".")[0])
        run.seconds = TASK_DURATION_S
        run.done_at = time.monotonic() + TASK_DURATION_S


def queued_bytes(ip):
    """Bytes on connections to `ip`, also on those not accepted yet: received
    and not read by the daemon; sent and not received by its clients."""
    local = socket.inet_aton(ip)[::-1].hex().upper() + ":"
    unread = unsent = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            if local not in line:
                continue
            # Columns: number, local, remote, state, tx_queue:rx_queue. The
            # queue of a listening socket (state 0A) counts connections.
            columns = line.split()
            if columns[1].startswith(local) and columns[3] != "0A":
                sending, receiving = columns[4].split(":")
                unread += int(receiving, 16)
                unsent += int(sending, 16)
    return unread, unsent


class Usage(threading.Thread):
    """Samples the memory and the descriptors of one daemon until stopped. A
    thread, so that a busy event loop does not delay the samples."""

    def __init__(self, pid, ip):
        super().__init__(daemon=True)
        self.pid, self.ip, self.stopped = pid, ip, threading.Event()
        self.peak_resident_kb = self.peak_memory_kb = 0
        self.peak_unread_kb = self.peak_unsent_kb = 0
        self.peak_descriptors = self.samples = 0
        self.resident_at_start_kb = 0

    def run(self):
        unread_kb, next_table = 0, 0.0
        while not self.stopped.wait(SAMPLE_INTERVAL_S):
            try:
                resident_kb = self.sample()
            except (OSError, KeyError):
                return  # The process has ended, which the test detects.
            if time.monotonic() >= next_table:
                unread, unsent = queued_bytes(self.ip)
                unread_kb = unread // 1024
                self.peak_unread_kb = max(self.peak_unread_kb, unread_kb)
                self.peak_unsent_kb = max(self.peak_unsent_kb, unsent // 1024)
                next_table = time.monotonic() + QUEUES_INTERVAL_S
            self.peak_memory_kb = max(self.peak_memory_kb,
                                      resident_kb + unread_kb)

    def sample(self):
        text = Path(f"/proc/{self.pid}/status").read_text(encoding="ascii")
        fields = dict(line.split(":", 1) for line in text.splitlines())
        resident_kb = int(fields["VmRSS"].split()[0])
        # The kernel's own peak also covers the time between two samples.
        self.peak_resident_kb = max(self.peak_resident_kb, resident_kb,
                                    int(fields["VmHWM"].split()[0]))
        self.peak_memory_kb = max(self.peak_memory_kb, self.peak_resident_kb)
        self.resident_at_start_kb = self.resident_at_start_kb or resident_kb
        self.peak_descriptors = max(self.peak_descriptors,
                                    len(os.listdir(f"/proc/{self.pid}/fd")))
        self.samples += 1
        return resident_kb


class Daemon:
    def __init__(self, binary, folder, name, ip, store, limits):
        self.name, self.ip = name, ip
        settings = folder / f"{name}.toml"
        settings.write_text(SETTINGS.format(name=name, ip=ip, store=store,
                                            memory_mb=limits.memory_mb,
                                            max_fds=limits.max_fds))
        with open(folder / f"{name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [str(binary), "--settings", str(settings)], stdout=log,
                stderr=log)
        self.usage = Usage(self.process.pid, ip)
        self.usage.start()

    def exit_code(self):
        return self.process.poll()

    def kill(self):
        self.usage.stopped.set()
        self.usage.join()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    async def request(self, port, method, path, headers, body=b""):
        client = Client(f"{self.ip}:{port}")
        answer = await client.request(method, path, headers, body,
                                      REQUEST_TIMEOUT_S)
        client.close()
        return answer

    async def until_answered(self, port, path):
        """Repeats a GET until it is answered with 200. Returns whether it
        was."""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < end and self.exit_code() is None:
            answer = await self.request(port, "GET", path, {"Host": self.ip})
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def until_ready(self):
        return await self.until_answered(READINESS_PORT,
                                         "/heathersaddle/readiness")


class Deployment:
    """One or two daemons with `limits`, a store and workers. Reports faults
    that it finds in `faults`."""

    def __init__(self, binary, number, seed, daemon_count, limits):
        self.binary, self.daemon_count, self.limits = \
            binary, daemon_count, limits
        self.number, self.rng = number, random.Random(seed)
        self.world = AnyJobs(seed)
        self.store = Store(random.Random(seed + 1))
        self.folder = Path(tempfile.mkdtemp(prefix="abuse-"))
        self.daemons, self.faults, self.ticker = [], [], None
        self.servers = [self.store.server]

    async def start(self):
        store = await self.store.server.start("127.0.0.1")
        self.store.put("keyed.op", "config", {
            "version": 1,
            "routes": [{"name": "q0", "host": "host", "path_prefix": "/q0/",
                        "service": "render", "priority": 0, "max_attempts": 3,
                        "stretch": 5, "latency_slo_ms": 60000,
                        "public": False}],
            "services": [{"name": "render", "enforces_capacity": True}],
            "limits": {}, "tenants": [{"name": "maison", "api_keys": [KEY],
                                       "reserved": {}}]})
        for index in range(WORKER_COUNT):
            worker = Worker(self.world, f"w-{index}", "dc1", "r0", 8, 1.0)
            worker.address = await worker.server.start("127.0.0.1")
            self.servers.append(worker.server)
            self.world.workers[worker.name] = worker
            self.store.put("keyed.servers", worker.name,
                           worker.registry_entry(worker.address))
        # Concurrent processes, and the sockets that a former test left behind,
        # must not share an address.
        pid = os.getpid()
        for index in range(self.daemon_count):
            host = 1 + (2 * self.number + index) % 250
            ip = f"127.{20 + pid % 200}.{pid // 200 % 250}.{host}"
            self.daemons.append(Daemon(self.binary, self.folder, f"d-{index}",
                                       ip, store, self.limits))
        self.ticker = asyncio.create_task(self.tick_loop())
        for daemon in self.daemons:
            if not await daemon.until_ready():
                self.faults.append(f"{daemon.name} did not become ready")
        if not self.faults and await self.find_owner() is None:
            self.faults.append("no daemon became owner")

    async def find_owner(self):
        """Waits until one daemon is the owner, and puts it first."""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < end:
            for daemon in self.daemons:
                answer = await daemon.request(METRICS_PORT, "GET", "/metrics",
                                              {"Host": daemon.ip})
                if answer and b"\nheathersaddle_owner 1\n" in answer[2]:
                    self.daemons.remove(daemon)
                    self.daemons.insert(0, daemon)
                    return daemon
            await asyncio.sleep(0.05)
        return None

    async def tick_loop(self):
        rounds = 0
        while True:
            for worker in self.world.workers.values():
                worker.step()
                if rounds % 75 == 74:
                    self.store.put("keyed.servers", worker.name,
                                   worker.registry_entry(worker.address))
            rounds += 1
            await asyncio.sleep(0.02)

    async def run_job(self, daemon, when):
        """Hands in a job as an ordinary client does, which repeats a request
        that was refused or not answered, until the job has completed."""
        name = f"{self.rng.getrandbits(64):016x}"
        headers = {"Host": "host", "X-Heathersaddle-Key": KEY,
                   "Content-Type": "application/json"}
        body = json.dumps({"task_spec": "ordinary", "steps": [
            {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 50}]})
        end = time.monotonic() + WAIT_TIMEOUT_S
        accepted, seen = False, None
        while time.monotonic() < end and daemon.exit_code() is None:
            answer = await daemon.request(
                CALLER_PORT, "GET" if accepted else "POST", f"/q0/{name}",
                headers, b"" if accepted else body.encode())
            seen = answer and (answer[0], answer[2][:100])
            if answer and answer[0] == 200:
                state = json.loads(answer[2])["state"] if accepted else None
                if state == "completed":
                    return
                if state in FINAL_STATES:
                    break
                accepted = True
            # A daemon that is not the owner may not know the job at once (410).
            elif answer and answer[0] not in (
                    (410, 503, 504) if accepted else (429, 503, 504)):
                break
            await asyncio.sleep(0.05)
        self.faults.append(
            f"a job {when} on {daemon.name} was "
            + ("accepted but not completed" if accepted else "not accepted")
            + f"; last answer: {seen}")

    def check_refused(self, jobs):
        for job in sorted(jobs & self.world.started_jobs):
            self.faults.append(f"job {job} was refused but runs")

    async def check_ready(self, daemon, when):
        if not await daemon.until_ready():
            self.faults.append(f"readiness of {daemon.name} {when}: no answer "
                               "with status 200")

    async def check_metrics(self, daemon, when):
        if not await daemon.until_answered(METRICS_PORT, "/metrics"):
            self.faults.append(f"metrics of {daemon.name} {when}: no answer "
                               "with status 200")

    async def check_service(self, when):
        for daemon in self.daemons:
            await self.run_job(daemon, when)
            await self.check_ready(daemon, when)

    def check_limits(self):
        for daemon in self.daemons:
            usage = daemon.usage
            if daemon.exit_code() is not None:
                self.faults.append(f"{daemon.name} ended with code "
                                   f"{daemon.exit_code()}")
            if not usage.samples:
                self.faults.append(f"{daemon.name} was not measured")
            memory_mb = usage.peak_memory_kb / 1024
            if memory_mb > self.limits.memory_mb:
                self.faults.append(
                    f"{daemon.name} occupied {memory_mb:.0f} MB, limit "
                    f"{self.limits.memory_mb} MB")
            if usage.peak_descriptors > self.limits.max_fds:
                self.faults.append(
                    f"{daemon.name} had {usage.peak_descriptors} descriptors, "
                    f"limit {self.limits.max_fds}")

    async def stop(self):
        """Ends the daemons; removes their logs if there was no fault."""
        for daemon in self.daemons:
            await asyncio.to_thread(daemon.kill)
        if self.ticker:
            self.ticker.cancel()
        for server in self.servers:
            if hasattr(server, "server"):
                server.server.close()
        if not self.faults:
            shutil.rmtree(self.folder)
