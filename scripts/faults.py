#!/usr/bin/env python3
"""Measures failure handling with real processes over loopback.

Each step injects one fault under load. The figures are computed from what the
callers received, from the audit of the workers, and from polling the daemons'
public API.
"""

import argparse
import random
import signal
import sys
import threading
import time

from demo import DAEMONS, say, wait_for_pool
from harness.check import check, percentile
from harness.client import call
from harness.deployment import (OPERATOR_TOKEN, Deployment, bearer, customers,
                                plans)
from harness.load import Load
from harness.platform_faults import (fail_tasks, leave_host, log_slow,
                                     pause_workers, starts_after_leaving,
                                     starts_in_quarantine, trim_log)

CELLS = ["dc-1", "dc-2", "dc-3"]
TAKEOVER_TARGET_S = 8.0
PUBLISH_TARGET_S = 8.0
# Frequent snapshots allow the log to be trimmed during a run.
DAEMON_FLAGS = ["--snapshot-records=500"]


class FaultRun:
    def __init__(self, deployment, args):
        self.deployment = deployment
        self.args = args
        self.started = time.monotonic()
        self.takeover_seconds = []
        self.in_force_seconds = []
        self.planned_stops = set()
        self.recovery_seconds = None
        self.trim_recovery_seconds = None
        self.failing_workers = set()
        self.leaving_hosts = []
        self.load = None
        self.names = 0

    def say(self, text):
        say(self.started, text)

    def next_name(self, base):
        self.names += 1
        return f"{base.split('.')[0]}.{self.names}"

    def epoch(self, cell):
        epochs = [e["epoch"] for e in self.deployment.audit()["owners"]
                  if e["cell"] == cell]
        return max(epochs, default=0)

    def wait_takeover(self, cells, limit=60):
        """Records for each cell the seconds until its workers act under a
        higher epoch, or `limit` if they do not within that time."""
        began = time.monotonic()
        missing = dict(cells)
        while missing and time.monotonic() - began < limit:
            for cell, epoch in list(missing.items()):
                if self.epoch(cell) > epoch:
                    del missing[cell]
                    self.takeover_seconds.append(time.monotonic() - began)
            time.sleep(0.05)
        for cell in missing:
            self.say(f"no takeover of {cell} within {limit} s")
            self.takeover_seconds.append(float(limit))

    def cells_of(self, name):
        return {c: self.epoch(c) for c in CELLS
                if self.deployment.owner_of(c) == name}

    def replace(self, name):
        centre = self.deployment.centres[name]
        new_name = self.next_name(name)
        self.deployment.start_daemon(new_name, centre)
        if not self.deployment.balancer.wait_ready([new_name], 20):
            raise SystemExit(f"{new_name} is not ready after 20 s; logs in "
                             + self.deployment.folder)


def kill_owner(run, cell):
    name = run.deployment.owner_of(cell)
    cells = run.cells_of(name)
    run.say(f"SIGKILL of {name}, owner of {' '.join(cells)}")
    run.deployment.kill_daemon(name)
    run.wait_takeover(cells)
    run.replace(name)


def pause_owner(run, cell):
    name = run.deployment.owner_of(cell)
    cells = run.cells_of(name)
    program = run.deployment.daemons[name]
    run.say(f"SIGSTOP of {name}, owner of {' '.join(cells)}")
    program.signal(signal.SIGSTOP)
    run.wait_takeover(cells)
    time.sleep(2)
    program.signal(signal.SIGCONT)
    run.say(f"SIGCONT of {name}")
    time.sleep(3)


def log_outage(run, seconds=10):
    run.say(f"log down for {seconds} s, after losing up to 5 append answers")
    run.deployment.set_faults(log_lose_answers=5)
    time.sleep(2)
    run.deployment.set_faults(log_down=True)
    time.sleep(seconds)
    run.deployment.set_faults(log_down=False)
    time.sleep(5)


def all_killed(run):
    centres = {n: run.deployment.centres[n] for n in run.deployment.daemons}
    run.say("SIGKILL of all daemons at once")
    for name in list(centres):
        run.deployment.kill_daemon(name)
    time.sleep(1)
    began = time.monotonic()
    for name, centre in centres.items():
        run.deployment.start_daemon(run.next_name(name), centre)
    before = len(run.load.requests)
    body = {"shape": {"tasks": 1, "accelerators": 1}, "kind": "echo",
            "input": f"recovery-{before}", "idempotent": False, "urgent": True}
    probe = run.load.submit(body, "tide")
    while probe.ended_after is None and time.monotonic() - began < 60:
        time.sleep(0.02)
    run.recovery_seconds = time.monotonic() - began
    run.say(f"first new answer after {run.recovery_seconds:.2f} s, "
            f"outcome {probe.outcome}")


def rolling_stop(run):
    for name in sorted(run.deployment.daemons):
        run.planned_stops.add(name)
        code = run.deployment.stop_daemon(name)
        run.say(f"graceful stop of {name}, exit code {code}")
        run.replace(name)


def cut_worker(run, cell):
    name = run.deployment.owner_of(cell)
    worker = cell + "-r1-w1"
    run.say(f"{worker} disconnected from {name} for 10 s")
    run.deployment.set_faults(worker=worker, cut_from=name)
    time.sleep(10)
    run.deployment.set_faults(worker=worker, cut_from="")


def worker_faults(run, seconds=5):
    run.say(f"dc-1 answers twice, dc-2 200 ms late, for {seconds} s; "
            "two workers restart, one loses power")
    run.deployment.set_faults(worker="dc-1-*", twice=True)
    run.deployment.set_faults(worker="dc-2-*", late_ms=200)
    run.deployment.set_faults(worker="dc-1-r1-w1", restart=True)
    run.deployment.set_faults(worker="dc-3-r1-w1", restart=True)
    run.deployment.set_faults(worker="dc-3-r2-w1", down=True)
    time.sleep(seconds)
    run.deployment.set_faults(worker="dc-1-*", twice=False)
    run.deployment.set_faults(worker="dc-2-*", late_ms=0)
    run.deployment.set_faults(worker="dc-3-r2-w1", down=False)
    time.sleep(seconds)


def publish_versions(run, count):
    """Changes the plans through one daemon and polls every daemon until it
    serves the new version."""
    headers = bearer(OPERATOR_TOKEN)
    addresses = run.deployment.addresses
    names = sorted(run.deployment.daemons)
    content = plans()
    for number in range(count):
        content["plans"][number % 4]["share"] = 10 + number
        address = addresses[names[number % len(names)]]
        base = call(address, "GET", "/v1/lists/plans", headers=headers)
        reply = call(address, "POST", "/v1/lists/plans",
                     {**content, "base": base.body.get("version")}, headers)
        if not reply.ok:
            run.say(f"publishing failed: {reply.status} {reply.body}")
            continue
        wait_in_force(run, names, reply.body["version"])


def wait_in_force(run, names, version, limit=30):
    began = time.monotonic()

    def watch(name):
        while time.monotonic() - began < limit:
            reply = call(run.deployment.addresses[name], "GET",
                         "/v1/lists/plans", headers=bearer(OPERATOR_TOKEN))
            if reply.ok and reply.body.get("version", 0) >= version:
                break
            time.sleep(0.005)
        run.in_force_seconds.append(time.monotonic() - began)

    threads = [threading.Thread(target=watch, args=(n,)) for n in names]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


STEPS = {
    "kill_owner": lambda run: [kill_owner(run, cell) for cell in CELLS],
    "pause_owner": lambda run: pause_owner(run, "dc-1"),
    "cut_worker": lambda run: cut_worker(run, "dc-2"),
    "worker_faults": worker_faults,
    "pause_workers": pause_workers,
    "leave_host": leave_host,
    "fail_tasks": fail_tasks,
    "log_slow": log_slow,
    "log_outage": log_outage,
    "rolling_stop": rolling_stop,
    "publish_versions":
        lambda run: publish_versions(run, run.args.versions),
    "trim_log": trim_log,
    "all_killed": all_killed,
}


def run_steps(run):
    for name in run.args.steps.split(","):
        STEPS[name](run)


def start(run):
    deployment = run.deployment
    for name, centre in DAEMONS:
        deployment.start_daemon(name, centre)
    if not deployment.balancer.wait_ready([n for n, _ in DAEMONS], 30):
        raise SystemExit("a daemon is not ready; logs in " + deployment.folder)
    wait_for_pool(deployment)
    deployment.publish("plans", plans())
    deployment.publish("customers", customers())
    run.load = Load(deployment, random.Random(run.args.seed + 1),
                    f"faults-{run.args.seed}")
    run.load.start(run.args.rate)
    time.sleep(5)


def print_figure(name, value, unit, target):
    text = "none" if value is None else f"{value:.3f}".rstrip("0").rstrip(".")
    print(f"figure {name} {text} {unit} target {target}")


def report(run, audit, seconds):
    verdict = check(run.load.requests, audit, run.failing_workers)
    after_leaving = starts_after_leaving(audit, run.leaving_hosts)
    in_quarantine = starts_in_quarantine(audit, run.failing_workers)
    for text in verdict.details[:20]:
        print("fault", text[:400])
    cut = sum(1 for s in run.load.requests
              for name in s.cut_by if name in run.planned_stops)
    print("faults: " + verdict.summary())
    print_figure("takeover_time_p99", percentile(run.takeover_seconds, 99),
                 "s", TAKEOVER_TARGET_S)
    print_figure("config_in_force_p99", percentile(run.in_force_seconds, 99),
                 "s", PUBLISH_TARGET_S)
    print_figure("requests_cut_by_planned_stop", cut, "requests", 0)
    print_figure("lost", verdict.lost, "jobs", 0)
    print_figure("twice", verdict.twice, "jobs", 0)
    print_figure("partial_gangs", verdict.partial_gangs, "attempts", 0)
    print_figure("wrong_answer", verdict.wrong_answer, "jobs", 0)
    print_figure("recovery_time_from_empty", run.recovery_seconds, "s", "none")
    print_figure("starts_on_leaving_host",
                 after_leaving if run.leaving_hosts else None, "tasks", 0)
    print_figure("starts_in_quarantine", in_quarantine, "tasks", 0)
    print_figure("recovery_time_after_trim", run.trim_recovery_seconds, "s",
                 "none")
    trimmed = "trim_log" not in run.args.steps or \
        run.trim_recovery_seconds is not None
    print_figure("log_appends_per_second", audit["log"]["appends"] / seconds,
                 "appends/s", 300)
    return (verdict.passed and cut == 0 and verdict.accepted > 0
            and after_leaving == 0 and not in_quarantine and trimmed)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=8.0)
    parser.add_argument("--drain", type=float, default=90.0)
    parser.add_argument("--versions", type=int, default=20)
    parser.add_argument("--steps", default=",".join(STEPS),
                        help="the steps to run, in order")
    args = parser.parse_args()
    unknown = set(args.steps.split(",")) - set(STEPS)
    if unknown:
        parser.error("unknown steps: " + " ".join(sorted(unknown)))
    print(f"faults seed={args.seed}")
    deployment = Deployment(args.build, random.Random(args.seed), args.seed,
                            daemon_flags=DAEMON_FLAGS)
    run = FaultRun(deployment, args)
    try:
        start(run)
        run_steps(run)
        run.load.finish(args.drain)
        run.say("all callers have finished")
        audit = deployment.audit()
        deployment.save_evidence()
    finally:
        deployment.close()
    if report(run, audit, time.monotonic() - run.started):
        deployment.discard_evidence()
        return 0
    print("logs, audit and control stream in " + deployment.folder)
    return 1


if __name__ == "__main__":
    sys.exit(main())
