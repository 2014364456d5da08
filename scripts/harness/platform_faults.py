"""Fault steps in the simulated platform: the log, workers and the host list.

Figures are computed from the stand-in's audit and control stream.
"""

import json
import signal
import time

from .client import call

# A host that the host list shows as leaving gets no new work after this time.
LEAVING_BOUND_MS = 5_000
# Consecutive failures of distinct jobs that quarantine a worker.
QUARANTINE_FAILURES = 3
# Time in which starts that were recorded before the third failure may still
# reach the worker.
QUARANTINE_SETTLE_MS = 2_000
QUARANTINE_MS = 60_000


def log_slow(run, late_ms=300, seconds=10):
    run.say(f"the log answers {late_ms} ms late for {seconds} s")
    run.deployment.set_faults(log_slow_ms=late_ms)
    time.sleep(seconds)
    run.deployment.set_faults(log_slow_ms=0)
    time.sleep(2)


def pause_workers(run, pattern="dc-2-r1-*", seconds=10):
    run.say(f"{pattern} paused for {seconds} s")
    run.deployment.set_faults(worker=pattern, paused=True)
    time.sleep(seconds)
    run.deployment.set_faults(worker=pattern, paused=False)
    time.sleep(5)


def busiest_worker(audit, within_ms=10_000):
    """The worker with the most starts in the last `within_ms`, and their
    number."""
    since = audit["now_ms"] - within_ms
    starts = {}
    for item in audit["runs"]:
        if item["started_ms"] >= since:
            starts[item["worker"]] = starts.get(item["worker"], 0) + 1
    if not starts:
        return "dc-1-r1-w2", 0
    return max(starts.items(), key=lambda entry: (entry[1], entry[0]))


def fail_tasks(run, seconds=15):
    worker, starts = busiest_worker(run.deployment.audit())
    run.say(f"every task of {worker} fails for {seconds} s "
            f"({starts} starts in the 10 s before)")
    run.failing_workers.add(worker)
    run.deployment.set_faults(worker=worker, failing=True)
    time.sleep(seconds)
    run.deployment.set_faults(worker=worker, failing=False)


def leave_host(run, seconds=15):
    audit = run.deployment.audit()
    worker, starts = busiest_worker(audit)
    run.deployment.set_faults(worker=worker, host_state="leaving")
    shown_ms = run.deployment.audit()["now_ms"]
    run.say(f"the host list shows {worker} as leaving ("
            f"{starts} starts in the 10 s before)")
    time.sleep(seconds)
    until_ms = run.deployment.audit()["now_ms"]
    run.deployment.set_faults(worker=worker, host_state="live")
    run.leaving_hosts.append((worker, shown_ms, until_ms))


def starts_after_leaving(audit, leaving):
    """Starts on leaving hosts more than LEAVING_BOUND_MS after the host list
    showed the host as leaving. `leaving` has (worker, shown_ms, until_ms)."""
    return sum(
        1
        for worker, shown_ms, until_ms in leaving
        for item in audit["runs"]
        if item["worker"] == worker
        and shown_ms + LEAVING_BOUND_MS < item["started_ms"] < until_ms
    )


def third_failure_ms(runs):
    """When a worker had its third consecutive failure of a distinct job, or
    None."""
    failed_jobs = []
    for item in sorted(runs, key=lambda item: item["ended_ms"]):
        if item["ended"] == "finished":
            failed_jobs = []
        elif item["ended"] == "failed" and item["job"] not in failed_jobs:
            failed_jobs.append(item["job"])
            if len(failed_jobs) == QUARANTINE_FAILURES:
                return item["ended_ms"]
    return None


def starts_in_quarantine(audit, failing):
    """Starts on workers during the quarantine that follows three consecutive
    failed jobs; None if no worker was quarantined, so nothing was measured."""
    count = None
    for worker in failing:
        runs = [r for r in audit["runs"] if r["worker"] == worker]
        failed_ms = third_failure_ms(runs)
        if failed_ms is None:
            continue
        first_ms, last_ms = \
            failed_ms + QUARANTINE_SETTLE_MS, failed_ms + QUARANTINE_MS
        count = (count or 0) + sum(
            1 for r in runs if first_ms < r["started_ms"] < last_ms)
    return count


def control_records(run, offset):
    """The records from `offset` on, as (offset, record)."""
    records = []
    while True:
        target = f"/v1/streams/control/records?from={offset}&max=1000"
        reply = call(run.deployment.platform_address, "GET", target)
        if reply.status == 410:
            offset = reply.body["oldest"]
            continue
        texts = reply.body.get("records") or []
        if not texts:
            return records
        records += [(offset + i, json.loads(t)) for i, t in enumerate(texts)]
        offset += len(texts)


def covered_offset(records):
    """The highest offset that a snapshot in the stream covers, or 0."""
    return max((record["b"].get("covered", 0) for _, record in records
                if record["k"] == "snapshot_taken"), default=0)


def trim_log(run, limit=60):
    """Trims the log beyond the offset of a paused daemon, which then has to
    recover from a snapshot."""
    owners = {run.deployment.owner_of(c) for c in ("dc-1", "dc-2", "dc-3")}
    spare = sorted(set(run.deployment.daemons) - owners)
    if not spare:
        run.say("trimmed log: every daemon owns a cell; step skipped")
        return
    name = spare[0]
    program = run.deployment.daemons[name]
    program.signal(signal.SIGSTOP)
    records = control_records(run, 0)
    paused_offset = records[-1][0] + 1
    run.say(f"SIGSTOP of {name} at offset {paused_offset}")
    covered, began = 0, time.monotonic()
    while covered <= paused_offset and time.monotonic() - began < limit:
        time.sleep(0.5)
        covered = covered_offset(control_records(run, paused_offset))
    if covered <= paused_offset:
        run.say(f"no snapshot past {paused_offset} within {limit} s")
    else:
        run.deployment.set_faults(trim_before=covered)
        run.say(f"log trimmed before offset {covered}")
    program.signal(signal.SIGCONT)
    began = time.monotonic()
    ready = run.deployment.balancer.wait_ready([name], limit)
    offset = log_offset(run, name)
    while offset < covered and time.monotonic() - began < limit:
        time.sleep(0.05)
        offset = log_offset(run, name)
    if covered > paused_offset and ready and offset >= covered:
        run.trim_recovery_seconds = time.monotonic() - began


def log_offset(run, name):
    reply = call(run.deployment.addresses[name], "GET", "/metrics")
    for line in reply.text.splitlines():
        if line.startswith("heathersaddle_log_offset "):
            return int(float(line.split()[1]))
    return 0
