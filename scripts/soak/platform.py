"""Simulates the platform's store and workers, and checks the scheduler.

Written from the platform's published interface. All actions of the scheduler
reach these simulated services, so its guarantees are checked here: each
violation is one line in `World.violations`.
"""

import asyncio
import base64
import contextlib
import json
import random
import time

from .wire import Server


MAX_LEASE_MS = 6000  # Equals hold_max_ms in the settings of soak.py.
# Bounds of the platform: nothing may be started in a data centre from this time
# after the request to drain it, or by the stretch later after disruptions.
DRAIN_NOTICE_S = 5
MAX_STRETCH_S = 6
FINAL_STATES = ("completed", "failed", "cancelled")


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.last_append = (0, 0, (0, b""))  # Epoch, sequence, answer.
        self.changed = asyncio.Event()


class Store:
    """A log with compacted topics.

    `lost_answer_share`: share of appends that are carried out but not
    answered. `late_appends`: whether these are carried out after a delay.
    `failure_mode`: how all calls fail: "" (they succeed), "busy" (status 503)
    or "silent" (no answer). `delay_s`: delay before each call is carried out.
    """

    def __init__(self, rng):
        self.rng = rng
        self.topics = {}
        self.lost_answer_share = 0.0
        self.late_appends = False
        self.failure_mode = ""
        self.delay_s = 0.0
        self.server = Server(self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record as the operator or a worker does; None deletes the
        key."""
        text = b"" if value is None else json.dumps(value).encode()
        self._append_record(self.topic(topic), key.encode(), text)

    @staticmethod
    def _append_record(topic, key, value):
        topic.newest.pop(key, None)
        if value:
            topic.newest[key] = (len(topic.records), value)
        topic.records.append(bytes([len(key)]) + key + value)
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if self.failure_mode == "silent":
            await asyncio.sleep(60)
            return None
        if self.failure_mode == "busy":
            return 503, b"{}"
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        topic = self.topic(query["topic"])
        if path == "/heathersaddle/log-append":
            if self.rng.random() < self.lost_answer_share:
                if self.late_appends:
                    await asyncio.sleep(self.rng.uniform(0.5, 3))
                self.append(topic, query, body)
                return None
            status, answer = self.append(topic, query, body)
            return status, json.dumps(answer).encode()
        if path == "/heathersaddle/log-read":
            return 200, await self.read(topic, query)
        if path == "/heathersaddle/log-newest":
            return 200, json.dumps(self.newest_page(topic, query)).encode()
        return 404, b"{}"

    def append(self, topic, query, body):
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            last_epoch, last_sequence, answer = topic.last_append
            if epoch < last_epoch:
                return 409, {"reason": "fenced"}
            if epoch == last_epoch and sequence == last_sequence:
                return answer
            if epoch == last_epoch and sequence != last_sequence + 1:
                return 409, {"reason": "seq", "expected": last_sequence + 1}
        first = len(topic.records)
        while body:
            size = int.from_bytes(body[:4], "big")
            record, body = body[4:4 + size], body[4 + size:]
            self._append_record(topic, record[1:1 + record[0]],
                                record[1 + record[0]:])
        answer = 200, {"offset": first, "end": len(topic.records)}
        if "producer" in query:
            topic.last_append = (epoch, sequence, answer)
        return answer

    async def read(self, topic, query):
        start = int(query["from"])
        if start >= len(topic.records) and int(query.get("wait_ms", 0)):
            try:
                await asyncio.wait_for(topic.changed.wait(),
                                       int(query["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass  # The answer has no records.
        content = len(topic.records).to_bytes(8, "big") + bytes(8)
        for record in topic.records[start:start + 2000]:
            content += len(record).to_bytes(4, "big") + record
        return content

    @staticmethod
    def newest_page(topic, query):
        after = query.get("depends_on", "").replace("%2F", "/").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items = [{"key": key.decode(), "offset": topic.newest[key][0],
                  "value": base64.b64encode(topic.newest[key][1]).decode()}
                 for key in keys[:50]]
        return {"items": items, "has_more": len(keys) > 50,
                "end": len(topic.records)}


class Run:
    def __init__(self, worker, task, number, seconds):
        self.worker, self.task, self.number = worker, task, number
        self.seconds, self.done_at, self.stop_at = seconds, None, None
        self.started_at = time.monotonic()


class Worker:
    """A worker with a lease, runs and a list of unacknowledged run ends. Its
    clock runs at `clock_rate` of real time."""

    def __init__(self, world, name, zone, rack, gpus, clock_rate):
        self.world, self.name, self.rack, self.gpus = world, name, rack, gpus
        self.zone, self.clock_rate = zone, clock_rate
        self.cold_until = 0  # It counts as cold until then.
        self.server = Server(self.handle)
        self.seq = 0
        self.alive = True
        self.start_incarnation()

    def start_incarnation(self):
        """Starts a new incarnation without any state of the previous one."""
        self.incarnation = int(time.time() * 1000)
        self.started_at = time.monotonic()
        # highest_closed_run: by task, the highest number of a run that was
        # stopped or has ended.
        self.runs, self.unacked_ends, self.highest_closed_run = {}, [], {}
        self.next_end_number, self.epoch, self.lease_until = 1, 0, 0
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000
                   * self.clock_rate)

    def extend_lease(self, until):
        self.lease_until = max(self.lease_until,
                               min(until, self.clock() + MAX_LEASE_MS))

    def registry_entry(self, address):
        self.seq += 1
        return {"service": "render", "addr": address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready",
                "cold_left_ms": max(
                    0, int((self.cold_until - time.monotonic()) * 1000)),
                "seq": self.seq, "born": self.incarnation,
                "capacity": {"cpu": 64000, "mem_mb": 256000,
                             "gpu": self.gpus},
                "labels": ["a", self.rack]}

    def end(self, run, outcome):
        del self.runs[run.task]
        self.highest_closed_run[run.task] = max(
            self.highest_closed_run.get(run.task, 0), run.number)
        self.unacked_ends.append(
            [self.next_end_number, run.task, run.number, outcome, ""])
        self.next_end_number += 1
        self.world.on_end(self, run, outcome)
        self.changed.set()
        self.changed = asyncio.Event()

    def step(self):
        now = time.monotonic()
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            if self.clock() > self.lease_until:
                self.end(run, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
            elif run.done_at is not None and now >= run.done_at:
                self.world.finish(run)
            elif run.done_at is None and now > run.started_at + 3.0:
                self.end(run, "alone")

    def crash(self):
        lost_runs = list(self.runs.values())
        self.start_incarnation()
        for run in lost_runs:
            self.world.on_end(self, run, "crash")

    async def handle(self, method, path, query, headers, body):
        if not self.alive:
            return None
        if headers.get("x-heathersaddle-expect-instance") != self.name:
            return 421, b"{}"
        call = json.loads(body)
        call["received_at"] = time.monotonic()
        if path == "/heathersaddle/hold":
            status, answer = await self.handle_hold(call)
        else:
            late_share = self.world.late_command_share
            if late_share and self.world.rng.random() < late_share:
                # If the worker restarts meanwhile, its next incarnation
                # carries the command out.
                asyncio.get_running_loop().call_later(
                    self.world.rng.uniform(1, 4),
                    lambda: self.alive and self.handle_command(path, call))
                await asyncio.sleep(30)
                return None
            status, answer = self.handle_command(path, call)
        return status, json.dumps(
            {"clock_ms": self.clock(), "born": self.incarnation,
             **answer}).encode()

    def handle_command(self, path, call):
        if call["fencing_token"] < self.epoch:
            return 409, {"reason": "fence"}
        self.epoch = call["fencing_token"]
        task, number = call["task"], call["run"]
        run = self.runs.get(task)
        if path == "/heathersaddle/run-stop":
            self.highest_closed_run[task] = max(
                self.highest_closed_run.get(task, 0), number)
            if run and run.number == number and run.stop_at is None:
                run.stop_at = time.monotonic() + 0.2
            return 200, {}
        if call["deadline_ms"] < self.clock():
            return 409, {"reason": "late"}
        self.extend_lease(call["deadline_ms"])
        if run and run.number == number:
            return 200, {}
        if number <= self.highest_closed_run.get(task, 0) or run:
            return 409, {"reason": "old"}
        job = self.world.job_of(task)
        needed_gpus = job.gpus if job else 0
        used_gpus = sum(self.world.job_of(r.task).gpus
                        for r in self.runs.values())
        if used_gpus + needed_gpus > self.gpus:
            return 409, {"reason": "room"}
        self.runs[task] = Run(self, task, number, 0)
        self.world.on_start(self, self.runs[task], call)
        return 200, {}

    async def handle_hold(self, call):
        if call["fencing_token"] < self.epoch:
            return 409, {"reason": "fence"}
        self.epoch = call["fencing_token"]
        if "deadline_ms" in call:
            self.extend_lease(call["deadline_ms"])
        for end in self.unacked_ends:
            if end[0] <= call["acked_upto"]:
                self.world.on_ack(end)
        self.unacked_ends = [e for e in self.unacked_ends
                             if e[0] > call["acked_upto"]]
        if not self.unacked_ends and call.get("wait_ms"):
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       call["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass  # Nothing changed; the answer has the current lists.
        now = time.monotonic()
        running = [[r.task, r.number, "",
                    0 if r.done_at is None else int(
                        100 - 100 * max(0, r.done_at - now) / r.seconds), 0]
                   for r in self.runs.values()]
        return 200, {"running": running, "ended": self.unacked_ends[:500]}


class Job:
    def __init__(self, name, rng):
        self.name = name
        self.step_count = rng.choice([1, 1, 1, 2])
        self.task_count = rng.choice([1, 2, 3, 6])
        self.is_gang = rng.random() < 0.4
        self.gpus = rng.choice([1, 1, 2, 4])
        self.queue = rng.choice([0, 1, 2])
        self.seconds = rng.uniform(0.3, 2.5)
        self.payload = f"payload of {name}"
        self.cancel_after = rng.uniform(0.2, 3) if rng.random() < 0.1 else None
        # When the caller received the acknowledgements.
        self.accepted_at = self.cancelled_at = None
        self.cancel_sent = self.refused = False
        self.completed_at = self.state = None
        self.start_count = 0

    def body(self):
        step = {"count": self.task_count, "cpu": 4000, "mem_mb": 1000,
                "gpu": self.gpus, "estimate_ms": int(self.seconds * 1000)}
        if self.is_gang:
            step["gang"] = True
        steps = [dict(step) for _ in range(self.step_count)]
        for number in range(1, self.step_count):
            steps[number]["depends_on"] = [number - 1]
        return json.dumps({"task_spec": self.payload, "steps": steps}).encode()


class World:
    """All jobs and workers, and the invariants that they must satisfy."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.jobs, self.workers = {}, {}
        self.violations = []
        self.late_command_share = 0.0
        self.fail_share = 0.04
        self.run_ends = {}     # Task -> list of (run number, outcome).
        self.acked_at = {}     # Task -> time when its success was acknowledged.
        self.failed_runs = {}  # Task -> numbers of the runs that failed.
        self.drained_at = {}   # Zone -> when the operator asked to drain it.
        self.drained_starts = 0  # Received in drained zones, in time.
        self.disruptions = []  # Begin and end of each; None: not over.

    def report_violation(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    @contextlib.contextmanager
    def disruption(self):
        """Disrupts calls between daemons, the store and workers."""
        interval = [time.monotonic(), None]
        self.disruptions.append(interval)
        try:
            yield
        finally:
            interval[1] = time.monotonic()

    def disrupted_time(self, begin, end):
        """The time from begin to end in which there was a disruption."""
        total, covered_to = 0, begin
        for first, last in sorted(self.disruptions, key=lambda d: d[0]):
            last = min(end, end if last is None else last)
            total += max(0, last - max(first, covered_to))
            covered_to = max(covered_to, last)
        return total

    def check_drain(self, worker, run, call):
        """Checks a start by when the worker received it."""
        requested_at = self.drained_at.get(worker.zone)
        if requested_at is None or call["received_at"] < requested_at:
            return
        after = call["received_at"] - requested_at
        stretch = min(MAX_STRETCH_S, self.disrupted_time(
            requested_at, call["received_at"]))
        if after > DRAIN_NOTICE_S + stretch:
            self.report_violation(
                "DRAINED", f"{run.task} starts on {worker.name} {after:.1f} s "
                f"after the request to drain {worker.zone}, disruptions of "
                f"{stretch:.1f} s")
        else:
            self.drained_starts += 1

    def job_of(self, task):
        return self.jobs.get(task.split(".")[0])

    def gang_members(self, run):
        """The running members of the run's gang, or the run itself."""
        job = self.job_of(run.task)
        if not job or not job.is_gang:
            return [run]
        gang_prefix = run.task.rsplit(".", 1)[0] + "."
        return [r for w in self.workers.values() for r in w.runs.values()
                if r.task.startswith(gang_prefix) and r.number == run.number]

    def on_start(self, worker, run, call):
        now = time.monotonic()
        job = self.job_of(run.task)
        if not job:
            return self.report_violation(
                "UNASKED", f"{run.task} belongs to no job")
        job.start_count += 1
        self.check_drain(worker, run, call)
        if call["task_spec"] != job.payload:
            self.report_violation("UNASKED",
                                  f"{run.task} has the wrong payload")
        if job.cancelled_at and now > job.cancelled_at + 3 + 4:
            self.report_violation(
                "UNASKED", f"{run.task} starts {now - job.cancelled_at:.1f} s "
                "after the cancellation")
        if job.refused:
            self.report_violation("REFUSED",
                                  f"{run.task} of a refused job starts")
        others = [w.name for w in self.workers.values()
                  if w is not worker and run.task in w.runs]
        if others:
            self.report_violation("TWICE", f"{run.task} runs on {others} and "
                                  f"{worker.name}")
        if run.task in self.acked_at:
            self.report_violation("TWICE", f"{run.task} starts after its "
                                  "success was acknowledged")
        if job.completed_at and now > job.completed_at + 1:
            self.report_violation("TWICE", f"{run.task} starts after the job "
                                  "was reported as completed")
        step = int(run.task.split(".")[2])
        if step and not self.step_done(job, step - 1):
            self.report_violation("ORDER", f"{run.task} starts before the step "
                                  "it depends on is done")
        run.seconds = job.seconds
        started_members = self.gang_members(run)
        if not job.is_gang or len(started_members) == job.task_count:
            fails = self.rng.random() < self.fail_share
            for member in started_members:
                member.seconds = job.seconds
                member.done_at = now + job.seconds
                member.fails = fails and member is run

    def step_done(self, job, step):
        done = [index for index in range(job.task_count)
                if any(outcome == "done" for _, outcome in
                       self.run_ends.get(f"{job.name}.0.{step}.{index}", []))]
        return bool(done) if job.is_gang else len(done) == job.task_count

    def finish(self, run):
        """Ends a run whose work is complete. All members of a gang end
        together, and one failing member fails the gang."""
        members = self.gang_members(run)
        outcome = "failed" if any(getattr(m, "fails", False)
                                  for m in members) else "done"
        for member in members:
            if member.task in member.worker.runs:
                member.worker.end(member, outcome)

    def on_end(self, worker, run, outcome):
        self.run_ends.setdefault(run.task, []).append((run.number, outcome))
        if outcome == "failed":
            self.failed_runs.setdefault(run.task, set()).add(run.number)
        if outcome not in ("done", "failed"):
            for member in self.gang_members(run):
                if member.task in member.worker.runs:
                    member.worker.end(member, "broken")

    def on_ack(self, end):
        if end[3] == "done":
            self.acked_at.setdefault(end[1], time.monotonic())

    def on_state(self, job, state):
        """Checks a job state that a caller received."""
        if job.completed_at and state != "completed":
            self.report_violation("MIXED", f"{job.name} is {state} after "
                                  "completed")
        if state == "completed":
            job.completed_at = job.completed_at or time.monotonic()
            for step in range(job.step_count):
                if not self.step_done(job, step):
                    self.report_violation(
                        "MIXED", f"{job.name} is completed before step {step} "
                        "is done")
        # No task here crashes its workers, so their crashes are no reason.
        if state == "failed" and not any(
                len(runs) >= 3 for task, runs in self.failed_runs.items()
                if task.startswith(job.name)):
            self.report_violation("LOST", f"{job.name} has failed without "
                                  "three failed runs of a task")
        if state == "cancelled" and not job.cancel_sent:
            self.report_violation("LOST", f"{job.name} is cancelled without "
                                  "a request")
        job.state = state
