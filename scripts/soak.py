#!/usr/bin/env python3
"""Runs real daemons against simulated platform services and injects faults.

Each seed is a separate deployment on loopback: the daemons are processes; the
store, the workers and the callers are simulated in this process. Each daemon
reaches the store, and all daemons reach each worker, through a proxy that can
disrupt the connection. The seed determines the faults, which overlap. The
responses to callers and the runs on workers are checked during the run and
again after the last fault. The folder of a seed with violations is kept.
"""

import argparse
import asyncio
import json
import os
import random
import re
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
KNOWN_RED = ROOT / "KNOWN-RED.txt"
REGRESSIONS = ROOT / "scripts" / "soak" / "regressions.txt"
BINARY = ROOT / "build" / "platform" / "heathersaddle-node"

SUBMIT_DURATION_S = 12      # Jobs are submitted for this long.
FAULT_DURATION_S = 11       # Faults are started for this long.
# Time to finish all jobs after the last fault: several times the sum of a
# lease, a takeover and the longest job.
SETTLE_TIMEOUT_S = 35
STOP_GRACE_S = 6            # From SIGTERM to the platform's SIGKILL.
VISIBILITY_TIMEOUT_S = 3    # Every daemon knows an accepted job after this.

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
        self.settings_file = soak.folder / f"{name}.toml"
        self.settings_file.write_text(
            SETTINGS.format(name=name, ip=ip, store=store))
        self.process, self.stopping, self.client = None, False, None

    def start(self):
        log = open(self.soak.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [self.soak.binary, "--settings", self.settings_file], stdout=log,
            stderr=log)
        log.close()
        self.stopping = False
        self.client = Client(f"{self.ip}:8521")

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self, restart_delay):
        if self.stopping:
            return
        self.stopping = True
        self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.process.wait)
        await asyncio.sleep(restart_delay)
        self.start()

    async def stop(self, restart_delay):
        if self.stopping:
            return
        self.stopping = True
        self.signal(signal.SIGTERM)
        try:
            await asyncio.to_thread(self.process.wait, STOP_GRACE_S + 1)
        except subprocess.TimeoutExpired:
            self.soak.world.report_violation(
                "STOP", f"{self.name} still runs {STOP_GRACE_S + 1} s "
                "after SIGTERM")
            self.signal(signal.SIGKILL)
        await asyncio.sleep(restart_delay)
        self.start()

    async def freeze(self, seconds):
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)


class Soak:
    def __init__(self, seed, binary, daemons, workers, drains):
        self.seed, self.binary = seed, str(binary)
        # Faults and jobs have generators of their own, so that the same seed
        # gives the same faults and jobs whatever the timing.
        self.rng = random.Random(seed)
        self.fault_rng = random.Random(seed + 2)
        self.job_rng = random.Random(seed + 3)
        self.drain_rng = random.Random(seed + 4) if drains else None
        self.drain_count = 0
        self.world = World(seed)
        self.store = Store(random.Random(seed + 1))
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.daemon_and_worker_counts = daemons, workers
        self.daemons, self.proxies, self.version = [], [], 0
        self.fault_count, self.started_at, self.draining = \
            0, time.monotonic(), set()

    def log_event(self, text):
        with open(self.folder / "faults.txt", "a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self.started_at:7.2f} {text}\n")

    def publish_config(self):
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
        self.publish_config()
        for number in range(self.daemon_and_worker_counts[1]):
            worker = Worker(self.world, f"w-{number}",
                            f"dc{1 + number // 4 % 2}", f"r{number // 4}",
                            self.rng.choice([4, 8]),
                            self.rng.choice([1.0, 0.985]))
            proxy = Proxy(await worker.server.start("127.0.0.1"))
            worker.address = await proxy.start("127.0.0.1")
            worker.proxy = proxy
            self.proxies.append(proxy)
            self.world.workers[worker.name] = worker
            self.update_registry(worker)
        for number in range(self.daemon_and_worker_counts[0]):
            proxy = Proxy(store)
            self.proxies.append(proxy)
            # Concurrent soak processes must not share an address.
            pid = os.getpid()
            ip = f"127.{20 + pid % 200}.{pid // 200 % 250}.{number + 1}"
            daemon = Daemon(self, f"d-{number}", ip,
                            await proxy.start("127.0.0.1"))
            daemon.proxy = proxy
            self.daemons.append(daemon)
            daemon.start()

    def update_registry(self, worker):
        entry = worker.registry_entry(worker.address) if worker.alive else None
        if entry and worker.name in self.draining:
            entry["state"] = "draining"
            entry["remaining_ms"] = 2000
        self.store.put("keyed.servers", worker.name, entry)

    async def tick_loop(self):
        """Advances the workers, renews their registry entries, and restarts
        daemons that exited unexpectedly."""
        rounds = 0
        while True:
            for worker in self.world.workers.values():
                worker.step()
                if rounds % 75 == 0 and worker.alive and \
                        not self.store.failure_mode:
                    self.update_registry(worker)
            rounds += 1
            for daemon in self.daemons:
                if not daemon.stopping and daemon.process.poll() is not None:
                    self.world.report_violation(
                        "EXIT", f"{daemon.name} exited unexpectedly with code "
                        f"{daemon.process.returncode}")
                    daemon.start()
            await asyncio.sleep(0.02)

    # Faults. Each one restores the deployment when it ends.

    async def disrupt_link(self, proxy, seconds, variant):
        with self.world.disruption():
            proxy.set_mode(["delay", "silent", "one_way", "reset"][variant % 4])
            await asyncio.sleep(seconds)
            proxy.set_mode("ok")

    async def disrupt_store(self, seconds, variant):
        mode = ["busy", "silent", "lost", "late", "slow"][variant % 5]
        if mode in ("busy", "silent"):
            self.store.failure_mode = mode
        elif mode == "slow":
            self.store.delay_s = 0.25
        else:
            self.store.lost_answer_share, self.store.late_appends = \
                0.35, mode == "late"
        with self.world.disruption():
            await asyncio.sleep(seconds)
        self.store.failure_mode, self.store.lost_answer_share, \
            self.store.delay_s = "", 0.0, 0.0

    async def disrupt_worker(self, worker, seconds, variant):
        mode = ["reborn", "gone", "leaves", "late"][variant % 4]
        if mode == "late":
            self.world.late_command_share = 0.3
            await asyncio.sleep(seconds)
            self.world.late_command_share = 0.0
            return
        if mode == "leaves":
            self.draining.add(worker.name)
            self.update_registry(worker)
            await asyncio.sleep(2.5)
        worker.alive = mode == "reborn"
        worker.crash()
        self.update_registry(worker)
        await asyncio.sleep(seconds)
        worker.crash()
        worker.alive = True
        self.draining.discard(worker.name)
        self.update_registry(worker)

    async def inject_fault(self):
        daemon = self.fault_rng.choice(self.daemons)
        worker = self.fault_rng.choice(list(self.world.workers.values()))
        seconds = self.fault_rng.uniform(0.3, 4)
        variant = self.fault_rng.randrange(60)
        kind = self.fault_rng.choice(
            ["kill", "kill", "stop", "freeze", "hup", "all", "store", "store",
             "store_link", "store_link", "worker_link", "worker_link",
             "worker", "worker", "config"])
        self.log_event(f"{kind} {variant} {daemon.name} {worker.name} "
                       f"{seconds:.1f} s")
        self.fault_count += 1
        if kind == "kill":
            await daemon.kill(seconds / 3)
        elif kind == "stop":
            await daemon.stop(seconds / 3)
        elif kind == "freeze":
            with self.world.disruption():
                await daemon.freeze(seconds)
        elif kind == "hup":
            daemon.signal(signal.SIGHUP)
        elif kind == "all":
            await asyncio.gather(*(d.kill(seconds / 3) for d in self.daemons))
        elif kind == "store":
            await self.disrupt_store(seconds, variant)
        elif kind == "store_link":
            await self.disrupt_link(daemon.proxy, seconds, variant)
        elif kind == "worker_link":
            await self.disrupt_link(worker.proxy, seconds, variant)
        elif kind == "worker":
            await self.disrupt_worker(worker, seconds, variant)
        else:
            self.publish_config()

    async def drain_zones(self):
        """Drains one or both zones, again and again. Requests are withdrawn
        while they are carried out, or hold for longer than the bounds of the
        platform."""
        rng, end = self.drain_rng, time.monotonic() + FAULT_DURATION_S
        while rng and time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.3, 2))
            zones = rng.choice([["dc1"], ["dc2"], ["dc1", "dc2"]])
            seconds = rng.choice([rng.uniform(0.01, 0.5), rng.uniform(1, 4),
                                  rng.uniform(8, 16)])
            self.log_event(f"drain {' '.join(zones)} {seconds:.1f} s")
            self.drain_count += 1
            for zone in zones:
                # A value that cannot be read counts as a request, too.
                self.store.put("keyed.op", f"evacuate/{zone}",
                               rng.choice([{}, {}, "unreadable"]))
                self.world.drained_at[zone] = time.monotonic()
            await asyncio.sleep(seconds)
            for zone in zones:
                del self.world.drained_at[zone]
                self.store.put("keyed.op", f"evacuate/{zone}", None)
            for worker in self.world.workers.values():
                if worker.zone in zones:
                    worker.cold_until = time.monotonic() + rng.uniform(0, 3)

    async def inject_faults(self):
        """Injects overlapping faults, some in quick succession, and waits
        until all are over."""
        running = []
        end = time.monotonic() + FAULT_DURATION_S
        while time.monotonic() < end:
            running.append(asyncio.create_task(self.inject_fault()))
            await asyncio.sleep(
                self.fault_rng.choice([0.05, 0.4, 1.0, 1.5]))
        await asyncio.gather(*running)

    # Callers.

    async def send_request(self, method, job, body=b""):
        daemon = self.rng.choice(self.daemons)
        # A persistent connection serves one request at a time.
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
            self.world.report_violation(
                "CONFIG", f"{method} {job.name}: status {answer[0]} from "
                f"{daemon.name}")
        return answer

    async def run_job(self, job):
        """Submits one job and follows it until it is refused or reaches a
        final state."""
        outcome_unknown = False
        for _ in range(7):
            answer = await self.send_request("POST", job, job.body())
            if answer and answer[0] == 200:
                job.accepted_at = time.monotonic()
                break
            outcome_unknown |= not answer or answer[0] not in (429, 503)
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        if not job.accepted_at:
            job.refused = not outcome_unknown
            return
        if job.cancel_after:
            await asyncio.sleep(job.cancel_after)
            job.cancel_sent = True
            while True:
                answer = await self.send_request("DELETE", job)
                if answer and answer[0] in (200, 410):
                    job.cancelled_at = time.monotonic()
                    break
                await asyncio.sleep(0.3)
        while job.state not in FINAL_STATES:
            await asyncio.sleep(self.rng.uniform(0.2, 0.9))
            answer = await self.send_request("GET", job)
            if answer and answer[0] == 200:
                self.world.on_state(job, json.loads(answer[2])["state"])
            elif (answer and answer[0] == 410
                  and time.monotonic() >
                  job.accepted_at + VISIBILITY_TIMEOUT_S):
                self.world.report_violation(
                    "LOST", f"{job.name} is unknown (status 410)")
                return

    async def submit_jobs(self):
        job_tasks = []
        end = time.monotonic() + SUBMIT_DURATION_S
        while time.monotonic() < end:
            job = Job(f"{self.job_rng.getrandbits(64):016x}", self.job_rng)
            self.world.jobs[job.name] = job
            job_tasks.append(asyncio.create_task(self.run_job(job)))
            if self.job_rng.random() < 0.05:  # Repeats the submission.
                asyncio.get_running_loop().call_later(
                    2, lambda j=job: asyncio.create_task(
                        self.send_request("POST", j, j.body()))
                    if j.accepted_at else None)
            await asyncio.sleep(self.job_rng.uniform(0.05, 0.4))
        return job_tasks

    def kill_daemons(self):
        """Kills all daemons that this soak has started."""
        for daemon in self.daemons:
            daemon.stopping = True
            daemon.signal(signal.SIGKILL)
            daemon.process.wait()

    async def run(self):
        # Ignores the errors of connections that faults cut on purpose.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        await self.start()
        ticker = asyncio.create_task(self.tick_loop())
        await asyncio.sleep(1.5)
        faults = asyncio.gather(self.inject_faults(), self.drain_zones())
        job_tasks = await self.submit_jobs()
        await faults
        self.log_event("all faults are over")
        await asyncio.wait(job_tasks, timeout=SETTLE_TIMEOUT_S)
        for job in self.world.jobs.values():
            if job.refused and job.start_count:
                self.world.report_violation(
                    "REFUSED", f"{job.name} was refused but ran")
            if job.accepted_at and job.state not in FINAL_STATES:
                self.world.report_violation(
                    "LOST", f"{job.name} has state {job.state} "
                    f"{SETTLE_TIMEOUT_S} s after the last fault")
        ticker.cancel()
        jobs = self.world.jobs.values()
        accepted = sum(1 for j in jobs if j.accepted_at)
        ended = {s: sum(1 for j in jobs if j.state == s)
                 for s in FINAL_STATES}
        return accepted, ended


def run_seed(args):
    soak = Soak(args.one, args.binary, args.daemons, args.workers,
                not args.without_drains)
    loop = asyncio.new_event_loop()
    try:
        accepted, ended = loop.run_until_complete(soak.run())
    except Exception:  # An error in the soak itself fails the seed.
        traceback.print_exc()
        soak.kill_daemons()
        os._exit(1)
    soak.kill_daemons()
    violations = soak.world.violations
    for line in violations[:20]:
        print(f"  {line}")
    print(f"seed {args.one}: jobs={len(soak.world.jobs)} accepted={accepted} "
          + " ".join(f"{k}={v}" for k, v in ended.items())
          + f" faults={soak.fault_count} drains={soak.drain_count} "
          f"violations={len(violations)}")
    if violations:
        print(f"  logs in {soak.folder}")
    else:
        shutil.rmtree(soak.folder)
    # Exits without closing the connections that still wait on purpose.
    sys.stdout.flush()
    os._exit(1 if violations else 0)


def known_violation(seed):
    """The text in KNOWN-RED.txt, as: soak seed 3 "TEXT", of the one kind of
    violation of the seed that is only printed; None if there is none."""
    text = KNOWN_RED.read_text(encoding="utf-8") if KNOWN_RED.exists() else ""
    found = re.search(rf'soak seed {seed} "([^"]+)"', text)
    return found and found[1]


def run_seed_process(seed, args, drains):
    result = subprocess.run(
        [sys.executable, __file__, "--one", str(seed), "--binary",
         str(args.binary), "--daemons", str(args.daemons), "--workers",
         str(args.workers)] + ([] if drains else ["--without-drains"]),
        capture_output=True, text=True, check=False)
    print(result.stdout + result.stderr, end="", flush=True)
    lines = [line for line in result.stdout.splitlines()
             if line.startswith("seed ")]
    if not lines:
        return 0, 1
    counts = dict(part.split("=") for part in lines[0].split() if "=" in part)
    known = known_violation(seed)
    passed_over = sum(line.startswith("  ") and known in line
                      for line in result.stdout.splitlines()) if known else 0
    if passed_over:
        print(f"  {passed_over} known violations (KNOWN-RED.txt)", flush=True)
    return int(counts["faults"]), int(counts["violations"]) - passed_over


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50,
                        help="number of new seeds to run")
    parser.add_argument("--first", type=int,
                        help="first of the new seeds (default: random)")
    parser.add_argument("--jobs", type=int, default=max(1, os.cpu_count() // 2),
                        help="number of seeds run concurrently")
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--binary", type=Path, default=BINARY)
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--without-drains", action="store_true",
                        help="drain no data centre")
    args = parser.parse_args()
    if args.one is not None:
        run_seed(args)
    first = args.first
    if first is None:
        first = random.SystemRandom().randrange(1_000_000)
    # Those that failed before the soak knew drains are played without them, as
    # the pool would be another one.
    regressions = {
        int(line.split()[0]): " with drains: " in line
        for line in REGRESSIONS.read_text(encoding="utf-8").splitlines()
        if line and not line.startswith("#")}
    seeds = list(regressions) + [
        seed for seed in range(first, first + args.seeds)
        if seed not in regressions]
    print(f"soak: {len(regressions)} regression seeds, {args.seeds} new seeds "
          f"from {first}", flush=True)
    with ThreadPoolExecutor(args.jobs) as pool:
        results = list(pool.map(
            lambda seed: run_seed_process(
                seed, args,
                regressions.get(seed, True) and not args.without_drains),
            seeds))
    faults = sum(f for f, _ in results)
    violations = sum(v for _, v in results)
    print(f"soak: seeds={len(seeds)} faults={faults} violations={violations}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
