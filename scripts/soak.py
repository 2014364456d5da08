#!/usr/bin/env python3
"""Runs real daemons beside stand-ins of the platform and injects faults.

Each seed is a deployment of its own on loopback: daemons as processes, and a
store, workers and callers written here, with a proxy before the store for each
daemon and before each worker. Faults come in overlapping series from the seed.
What callers and workers see is checked while it runs, and once more when all
faults are over. The folder of a seed with violations is kept.
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from soak.platform import FINAL_STATES, Job, Store, Worker, World
from soak.wire import Client, Proxy

ROOT = Path(__file__).resolve().parent.parent
REGRESSIONS = ROOT / "scripts" / "soak" / "regressions.txt"
BINARY = ROOT / "build" / "platform" / "heathersaddle-node"

TRAFFIC_S = 12      # Jobs are handed in for this long.
FAULTS_S = 11       # Faults begin within this time.
SETTLE_S = 35       # Leases, a takeover and the longest job, several times.
GRACE_S = 6         # Between SIGTERM and the platform's SIGKILL.
VISIBLE_S = 3       # An accepted job is known everywhere after this.

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
[bounds]
hold_max_ms = 6000
stop_ms = 200
gang_ms = 3000
status_s = 120
grace_s = 6
[platform]
addr = "{store}"
"""


class Daemon:
    def __init__(self, soak, name, ip, store):
        self.soak, self.name, self.ip = soak, name, ip
        self.file = soak.folder / f"{name}.toml"
        self.file.write_text(SETTINGS.format(name=name, ip=ip, store=store))
        self.process, self.ending, self.client = None, False, None

    def start(self):
        log = open(self.soak.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [self.soak.binary, "--settings", self.file], stdout=log,
            stderr=log)
        log.close()
        self.ending = False
        self.client = Client(f"{self.ip}:8521")

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self, pause):
        if self.ending:
            return
        self.ending = True
        self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.process.wait)
        await asyncio.sleep(pause)
        self.start()

    async def stop(self, pause):
        if self.ending:
            return
        self.ending = True
        self.signal(signal.SIGTERM)
        try:
            await asyncio.to_thread(self.process.wait, GRACE_S + 1)
        except subprocess.TimeoutExpired:
            self.soak.world.broken(
                "STOP", f"{self.name} is there {GRACE_S + 1} s after SIGTERM")
            self.signal(signal.SIGKILL)
        await asyncio.sleep(pause)
        self.start()

    async def freeze(self, seconds):
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)


class Soak:
    def __init__(self, seed, binary, daemons, workers):
        self.seed, self.binary = seed, str(binary)
        # Faults and jobs depend on the seed alone, not on timing.
        self.rng = random.Random(seed)
        self.fault_rng = random.Random(seed + 2)
        self.job_rng = random.Random(seed + 3)
        self.world = World(seed)
        self.store = Store(random.Random(seed + 1))
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.counts = daemons, workers
        self.daemons, self.proxies, self.version = [], [], 0
        self.faults, self.begun, self.hidden = 0, time.monotonic(), set()

    def note(self, text):
        with open(self.folder / "faults.txt", "a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self.begun:7.2f} {text}\n")

    def configure(self):
        self.version += self.rng.randint(1, 3)
        routes = [{"name": f"q{n}", "host": "host", "path_prefix": f"/q{n}/",
                   "service": "render", "priority": n, "max_attempts": 3,
                   "stretch": 5, "latency_slo_ms": 60000, "public": False}
                  for n in range(3)]
        keys = ["key"] + [f"other-{self.version}"]
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": "render", "enforces_capacity": True}],
            "limits": {}, "tenants": [{"name": "maison", "api_keys": keys,
                                       "reserved": {"gpu": 8}}]})

    async def start(self):
        store = await self.store.server.start("127.0.0.1")
        self.configure()
        for number in range(self.counts[1]):
            worker = Worker(self.world, f"w-{number}", f"r{number // 4}",
                            self.rng.choice([4, 8]),
                            self.rng.choice([1.0, 0.985]))
            proxy = Proxy(await worker.server.start("127.0.0.1"))
            worker.address = await proxy.start("127.0.0.1")
            worker.proxy = proxy
            self.proxies.append(proxy)
            self.world.workers[worker.name] = worker
            self.list_worker(worker)
        for number in range(self.counts[0]):
            proxy = Proxy(store)
            self.proxies.append(proxy)
            # No two soaks that run at once share an address.
            pid = os.getpid()
            ip = f"127.{20 + pid % 200}.{pid // 200 % 250}.{number + 1}"
            daemon = Daemon(self, f"d-{number}", ip,
                            await proxy.start("127.0.0.1"))
            daemon.proxy = proxy
            self.daemons.append(daemon)
            daemon.start()

    def list_worker(self, worker):
        entry = worker.entry(worker.address) if worker.alive else None
        if entry and worker.name in self.hidden:
            entry["state"] = "draining"
            entry["remaining_ms"] = 2000
        self.store.put("keyed.servers", worker.name, entry)

    async def beat(self):
        """Workers make progress and register themselves."""
        rounds = 0
        while True:
            for worker in self.world.workers.values():
                worker.step()
                if rounds % 75 == 0 and worker.alive and not self.store.down:
                    self.list_worker(worker)
            rounds += 1
            for daemon in self.daemons:
                if not daemon.ending and daemon.process.poll() is not None:
                    self.world.broken("EXIT", f"{daemon.name} ended by itself"
                                      f" with {daemon.process.returncode}")
                    daemon.start()
            await asyncio.sleep(0.02)

    # Faults. Each leaves the deployment as it was.

    async def harm_link(self, proxy, seconds, pick):
        proxy.set_mode(["delay", "silent", "one_way", "reset"][pick % 4])
        await asyncio.sleep(seconds)
        proxy.set_mode("ok")

    async def harm_store(self, seconds, pick):
        how = ["busy", "silent", "lost", "late", "slow"][pick % 5]
        if how in ("busy", "silent"):
            self.store.down = how
        elif how == "slow":
            self.store.slow = 0.25
        else:
            self.store.lost, self.store.late = 0.35, how == "late"
        await asyncio.sleep(seconds)
        self.store.down, self.store.lost, self.store.slow = "", 0.0, 0.0

    async def harm_worker(self, worker, seconds, pick):
        how = ["reborn", "gone", "leaves", "late"][pick % 4]
        if how == "late":
            self.world.late_orders = 0.3
            await asyncio.sleep(seconds)
            self.world.late_orders = 0.0
            return
        if how == "leaves":
            self.hidden.add(worker.name)
            self.list_worker(worker)
            await asyncio.sleep(2.5)
        worker.alive = how == "reborn"
        worker.crash()
        self.list_worker(worker)
        await asyncio.sleep(seconds)
        worker.crash()
        worker.alive = True
        self.hidden.discard(worker.name)
        self.list_worker(worker)

    async def fault(self):
        daemon = self.fault_rng.choice(self.daemons)
        worker = self.fault_rng.choice(list(self.world.workers.values()))
        seconds = self.fault_rng.uniform(0.3, 4)
        pick = self.fault_rng.randrange(60)
        kind = self.fault_rng.choice(
            ["kill", "kill", "stop", "freeze", "hup", "all", "store", "store",
             "store_link", "store_link", "worker_link", "worker_link",
             "worker", "worker", "config"])
        self.note(f"{kind} {pick} {daemon.name} {worker.name} {seconds:.1f} s")
        self.faults += 1
        if kind == "kill":
            await daemon.kill(seconds / 3)
        elif kind == "stop":
            await daemon.stop(seconds / 3)
        elif kind == "freeze":
            await daemon.freeze(seconds)
        elif kind == "hup":
            daemon.signal(signal.SIGHUP)
        elif kind == "all":
            await asyncio.gather(*(d.kill(seconds / 3) for d in self.daemons))
        elif kind == "store":
            await self.harm_store(seconds, pick)
        elif kind == "store_link":
            await self.harm_link(daemon.proxy, seconds, pick)
        elif kind == "worker_link":
            await self.harm_link(worker.proxy, seconds, pick)
        elif kind == "worker":
            await self.harm_worker(worker, seconds, pick)
        else:
            self.configure()

    async def series(self):
        """Overlapping faults, some right after one another."""
        running = []
        end = time.monotonic() + FAULTS_S
        while time.monotonic() < end:
            running.append(asyncio.create_task(self.fault()))
            await asyncio.sleep(
                self.fault_rng.choice([0.05, 0.4, 1.0, 1.5]))
        await asyncio.gather(*running)

    # Callers.

    async def ask(self, method, job, body=b""):
        daemon = self.rng.choice(self.daemons)
        # A kept connection serves one request at a time.
        client = daemon.client if self.rng.random() < 0.5 else None
        if client is None or getattr(client, "busy", False):
            client = Client(f"{daemon.ip}:8521")
        client.busy = True
        answer = await client.request(
            method, f"/q{job.queue}/{job.name}",
            {"Host": "host", "X-Heathersaddle-Key": "key",
             "Content-Type": "application/json"}, body)
        client.busy = False
        if client is not daemon.client:
            client.close()
        if answer and answer[0] in (400, 401, 404):
            self.world.broken("CONFIG", f"{method} {job.name}: {answer[0]} "
                              f"from {daemon.name}")
        return answer

    async def live(self, job):
        """One job from its first try to its last state."""
        unknown = False
        for _ in range(7):
            answer = await self.ask("POST", job, job.body())
            if answer and answer[0] == 200:
                job.accepted = time.monotonic()
                break
            unknown |= not answer or answer[0] not in (429, 503)
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        if not job.accepted:
            job.refused = not unknown
            return
        if job.cancel_after:
            await asyncio.sleep(job.cancel_after)
            job.cancel_sent = True
            while True:
                answer = await self.ask("DELETE", job)
                if answer and answer[0] in (200, 410):
                    job.cancelled = time.monotonic()
                    break
                await asyncio.sleep(0.3)
        while job.state not in FINAL_STATES:
            await asyncio.sleep(self.rng.uniform(0.2, 0.9))
            answer = await self.ask("GET", job)
            if answer and answer[0] == 200:
                self.world.on_state(job, json.loads(answer[2])["state"])
            elif (answer and answer[0] == 410
                  and time.monotonic() > job.accepted + VISIBLE_S):
                self.world.broken("LOST", f"{job.name} is unknown")
                return

    async def traffic(self):
        lives = []
        end = time.monotonic() + TRAFFIC_S
        while time.monotonic() < end:
            job = Job(f"{self.job_rng.getrandbits(64):016x}", self.job_rng)
            self.world.jobs[job.name] = job
            lives.append(asyncio.create_task(self.live(job)))
            if self.job_rng.random() < 0.05:  # The same submission once more.
                asyncio.get_running_loop().call_later(
                    2, lambda j=job: asyncio.create_task(
                        self.ask("POST", j, j.body()))
                    if j.accepted else None)
            await asyncio.sleep(self.job_rng.uniform(0.05, 0.4))
        return lives

    def end(self):
        """Ends all daemons that this soak has started."""
        for daemon in self.daemons:
            daemon.ending = True
            daemon.signal(signal.SIGKILL)
            daemon.process.wait()

    async def run(self):
        # Connections that are cut off on purpose fail here, too.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        await self.start()
        beat = asyncio.create_task(self.beat())
        await asyncio.sleep(1.5)
        faults = asyncio.create_task(self.series())
        lives = await self.traffic()
        await faults
        self.note("all faults are over")
        await asyncio.wait(lives, timeout=SETTLE_S)
        for job in self.world.jobs.values():
            if job.refused and job.started:
                self.world.broken("REFUSED", f"{job.name} was refused and ran")
            if job.accepted and job.state not in FINAL_STATES:
                self.world.broken("LOST", f"{job.name} is {job.state} "
                                  f"{SETTLE_S} s after the last fault")
        beat.cancel()
        jobs = self.world.jobs.values()
        accepted = sum(1 for j in jobs if j.accepted)
        ended = {s: sum(1 for j in jobs if j.state == s)
                 for s in FINAL_STATES}
        return accepted, ended


def one(args):
    soak = Soak(args.one, args.binary, args.daemons, args.workers)
    loop = asyncio.new_event_loop()
    try:
        accepted, ended = loop.run_until_complete(soak.run())
    except Exception:  # A fault of the soak itself fails the seed.
        traceback.print_exc()
        soak.end()
        os._exit(1)
    soak.end()
    violations = soak.world.violations
    for line in violations[:20]:
        print(f"  {line}")
    print(f"seed {args.one}: jobs={len(soak.world.jobs)} accepted={accepted} "
          + " ".join(f"{k}={v}" for k, v in ended.items())
          + f" faults={soak.faults} violations={len(violations)}")
    if violations:
        print(f"  logs in {soak.folder}")
    else:
        shutil.rmtree(soak.folder)
    # Many connections still wait on purpose; they need no orderly end.
    sys.stdout.flush()
    os._exit(1 if violations else 0)


def play(seed, args):
    result = subprocess.run(
        [sys.executable, __file__, "--one", str(seed), "--binary",
         str(args.binary), "--daemons", str(args.daemons), "--workers",
         str(args.workers)], capture_output=True, text=True, check=False)
    print(result.stdout + result.stderr, end="", flush=True)
    lines = [line for line in result.stdout.splitlines()
             if line.startswith("seed ")]
    if not lines:
        return 0, 1
    counts = dict(part.split("=") for part in lines[0].split() if "=" in part)
    return int(counts["faults"]), int(counts["violations"])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50,
                        help="fresh seeds to play")
    parser.add_argument("--first", type=int, help="the first of the seeds")
    parser.add_argument("--jobs", type=int, default=max(1, os.cpu_count() // 2),
                        help="seeds played at once")
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--binary", type=Path, default=BINARY)
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one is not None:
        one(args)
    first = args.first
    if first is None:
        first = random.SystemRandom().randrange(1_000_000)
    old = [int(line.split()[0])
           for line in REGRESSIONS.read_text(encoding="utf-8").splitlines()
           if line and not line.startswith("#")]
    seeds = old + [seed for seed in range(first, first + args.seeds)
                   if seed not in old]
    print(f"soak: {len(old)} seeds that failed once, {args.seeds} from "
          f"{first}", flush=True)
    with ThreadPoolExecutor(args.jobs) as pool:
        results = list(pool.map(lambda seed: play(seed, args), seeds))
    faults = sum(f for f, _ in results)
    violations = sum(v for _, v in results)
    print(f"soak: seeds={len(seeds)} faults={faults} violations={violations}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
