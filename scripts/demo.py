#!/usr/bin/env python3
"""Runs a whole deployment on loopback under a mixed load.

Six daemons over three data centres serve 48 workers. During the run one daemon
is killed and another is stopped gracefully; both are replaced. The last line
is computed from the callers' responses and the workers' audit. The exit code
is 0 only if jobs were accepted and none was lost, run twice, run in part or
answered wrongly.
"""

import argparse
import random
import sys
import time

from harness.check import check, percentile
from harness.deployment import Deployment, customers, plans
from harness.load import Load

DAEMONS = [("entry-1", "dc-1"), ("entry-2", "dc-1"), ("entry-3", "dc-2"),
           ("entry-4", "dc-2"), ("entry-5", "dc-3"), ("entry-6", "dc-3")]


def say(started, text):
    print(f"{time.monotonic() - started:6.1f} s  {text}", flush=True)


def wait_for_pool(deployment, limit=30):
    """Waits until all three cells have an owner."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        audit = deployment.audit()
        if len({entry["cell"] for entry in audit["owners"]}) == 3:
            return
        time.sleep(0.2)
    raise SystemExit("the cells have no owners after 30 s")


def start(deployment, started):
    for name, centre in DAEMONS:
        deployment.start_daemon(name, centre)
    if not deployment.balancer.wait_ready([n for n, _ in DAEMONS], 30):
        raise SystemExit("a daemon is not ready after 30 s; logs in "
                         + deployment.folder)
    say(started, f"6 daemons are ready, {deployment.workers} workers")
    wait_for_pool(deployment)
    deployment.publish("plans", plans())
    deployment.publish("customers", customers())
    say(started, "lists published")


def run(deployment, args, started):
    start(deployment, started)
    load = Load(deployment, random.Random(args.seed + 1), f"demo-{args.seed}")
    load.start(args.rate)
    say(started, f"load of {args.rate} requests a second")
    time.sleep(args.seconds * 0.25)
    killed = deployment.owner_of("dc-2") or "entry-3"
    centre = deployment.centres[killed]
    deployment.kill_daemon(killed)
    say(started, f"killed {killed}, owner of dc-2")
    time.sleep(args.seconds * 0.2)
    deployment.start_daemon(killed + "-new", centre)
    say(started, f"replaced {killed}")
    time.sleep(args.seconds * 0.1)
    stopped = deployment.owner_of("dc-1") or "entry-1"
    centre = deployment.centres[stopped]
    code = deployment.stop_daemon(stopped)
    say(started, f"stopped {stopped}, owner of dc-1, exit code {code}")
    time.sleep(args.seconds * 0.1)
    deployment.start_daemon(stopped + "-new", centre)
    say(started, f"replaced {stopped}")
    time.sleep(args.seconds * 0.25)
    load.finish(args.drain)
    say(started, f"the callers of {len(load.requests)} requests have finished")
    return load


def report(load, audit):
    verdict = check(load.requests, audit)
    for text in verdict.details[:20]:
        print("fault", text[:400])
    refused = sum(1 for s in load.requests if s.refused)
    never_accepted = sum(1 for s in load.requests
                         if not s.job and not s.refused)
    urgent = [s.ended_after for s in load.requests
              if s.ended_after and s.body["kind"] == "echo"]
    p99 = percentile(urgent, 99)
    p99_text = "none" if p99 is None else f"{p99 * 1000:.0f} ms"
    print(f"requests={len(load.requests)} refused={refused} "
          f"never_accepted={never_accepted} urgent echo answer p99={p99_text}")
    print("demo: " + verdict.summary())
    return verdict


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=8.0)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--drain", type=float, default=60.0)
    args = parser.parse_args()
    started = time.monotonic()
    print(f"demo seed={args.seed}")
    deployment = Deployment(args.build, random.Random(args.seed), args.seed)
    try:
        load = run(deployment, args, started)
        audit = deployment.audit()
        deployment.save_evidence()
    finally:
        deployment.close()
    verdict = report(load, audit)
    if not verdict.passed or verdict.accepted == 0:
        print("logs, audit and control stream in " + deployment.folder)
        return 1
    deployment.discard_evidence()
    return 0


if __name__ == "__main__":
    sys.exit(main())
