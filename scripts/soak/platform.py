"""Stand-ins for the users' platform: its store and its workers.

Written from the platform's published interface. Everything the product does is
seen here, so the checks are here, too: a violation is one line in `violations`.
"""

import asyncio
import base64
import json
import random
import time

from .wire import Server


LEASE_MOST_MS = 6000  # As hold_max_ms in the settings of soak.py.
FINAL_STATES = ("completed", "failed", "cancelled")


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.writer = (0, 0, (0, b""))  # Epoch, sequence, answer.
        self.changed = asyncio.Event()


class Store:
    """The log with compacted topics. `lost`: share of appends that are done
    and not answered; `late`: these are done later instead; `down`: how calls
    fail ("", "busy" or "silent")."""

    def __init__(self, rng):
        self.rng = rng
        self.topics = {}
        self.lost = 0.0
        self.late = False
        self.down = ""
        self.slow = 0.0
        self.server = Server(self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """A record of the operator or of a worker; None deletes the key."""
        text = b"" if value is None else json.dumps(value).encode()
        self._add(self.topic(topic), key.encode(), text)

    @staticmethod
    def _add(topic, key, value):
        topic.newest.pop(key, None)
        if value:
            topic.newest[key] = (len(topic.records), value)
        topic.records.append(bytes([len(key)]) + key + value)
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if self.down == "silent":
            await asyncio.sleep(60)
            return None
        if self.down == "busy":
            return 503, b"{}"
        if self.slow:
            await asyncio.sleep(self.slow)
        topic = self.topic(query["topic"])
        if path == "/heathersaddle/log-append":
            if self.rng.random() < self.lost:
                if self.late:
                    await asyncio.sleep(self.rng.uniform(0.5, 3))
                self.append(topic, query, body)
                return None
            status, answer = self.append(topic, query, body)
            return status, json.dumps(answer).encode()
        if path == "/heathersaddle/log-read":
            return 200, await self.read(topic, query)
        if path == "/heathersaddle/log-newest":
            return 200, json.dumps(self.pages(topic, query)).encode()
        return 404, b"{}"

    def append(self, topic, query, body):
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            last_epoch, last, answer = topic.writer
            if epoch < last_epoch:
                return 409, {"reason": "fenced"}
            if epoch == last_epoch and sequence == last:
                return answer
            if epoch == last_epoch and sequence != last + 1:
                return 409, {"reason": "seq", "expected": last + 1}
        first = len(topic.records)
        while body:
            size = int.from_bytes(body[:4], "big")
            record, body = body[4:4 + size], body[4 + size:]
            self._add(topic, record[1:1 + record[0]], record[1 + record[0]:])
        answer = 200, {"offset": first, "end": len(topic.records)}
        if "producer" in query:
            topic.writer = (epoch, sequence, answer)
        return answer

    async def read(self, topic, query):
        start = int(query["from"])
        if start >= len(topic.records) and int(query.get("wait_ms", 0)):
            try:
                await asyncio.wait_for(topic.changed.wait(),
                                       int(query["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass  # An empty answer.
        out = len(topic.records).to_bytes(8, "big") + bytes(8)
        for record in topic.records[start:start + 2000]:
            out += len(record).to_bytes(4, "big") + record
        return out

    @staticmethod
    def pages(topic, query):
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
        self.since = time.monotonic()


class Worker:
    """One worker: leases, runs, the list of ends. Its clock may be slow."""

    def __init__(self, world, name, rack, gpus, clock_rate):
        self.world, self.name, self.rack, self.gpus = world, name, rack, gpus
        self.clock_rate = clock_rate
        self.server = Server(self.handle)
        self.seq = 0
        self.alive = True
        self.begin()

    def begin(self):
        """A new life: nothing is known of before."""
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.runs, self.ends, self.barred = {}, [], {}
        self.next_end, self.epoch, self.lease = 1, 0, 0
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000 * self.clock_rate)

    def extend_lease(self, until):
        self.lease = max(self.lease, min(until, self.clock() + LEASE_MOST_MS))

    def entry(self, address):
        self.seq += 1
        return {"service": "render", "addr": address, "zone": "dc1",
                "version": "v1", "slots": 8, "state": "ready",
                "cold_left_ms": 0, "seq": self.seq, "born": self.born,
                "capacity": {"cpu": 64000, "mem_mb": 256000,
                             "gpu": self.gpus},
                "labels": ["a", self.rack]}

    def end(self, run, how):
        del self.runs[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.ends.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.world.on_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def step(self):
        now = time.monotonic()
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            if self.clock() > self.lease:
                self.end(run, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
            elif run.done_at is not None and now >= run.done_at:
                self.world.finish(run)
            elif run.done_at is None and now > run.since + 3.0:
                self.end(run, "alone")

    def crash(self):
        lost = list(self.runs.values())
        self.begin()
        for run in lost:
            self.world.on_end(self, run, "crash")

    async def handle(self, method, path, query, headers, body):
        if not self.alive:
            return None
        if headers.get("x-heathersaddle-expect-instance") != self.name:
            return 421, b"{}"
        call = json.loads(body)
        if path == "/heathersaddle/hold":
            status, answer = await self.hold(call)
        else:
            late = self.world.late_orders
            if late and self.world.rng.random() < late:
                # Also the next life of the worker may still carry it out.
                asyncio.get_running_loop().call_later(
                    self.world.rng.uniform(1, 4),
                    lambda: self.alive and self.order(path, call))
                await asyncio.sleep(30)
                return None
            status, answer = self.order(path, call)
        return status, json.dumps(
            {"clock_ms": self.clock(), "born": self.born, **answer}).encode()

    def order(self, path, call):
        if call["fencing_token"] < self.epoch:
            return 409, {"reason": "fence"}
        self.epoch = call["fencing_token"]
        task, number = call["task"], call["run"]
        run = self.runs.get(task)
        if path == "/heathersaddle/run-stop":
            self.barred[task] = max(self.barred.get(task, 0), number)
            if run and run.number == number and run.stop_at is None:
                run.stop_at = time.monotonic() + 0.2
            return 200, {}
        if call["deadline_ms"] < self.clock():
            return 409, {"reason": "late"}
        self.extend_lease(call["deadline_ms"])
        if run and run.number == number:
            return 200, {}
        if number <= self.barred.get(task, 0) or run:
            return 409, {"reason": "old"}
        job = self.world.job_of(task)
        need = job.gpus if job else 0
        used = sum(self.world.job_of(r.task).gpus for r in self.runs.values())
        if used + need > self.gpus:
            return 409, {"reason": "room"}
        self.runs[task] = Run(self, task, number, 0)
        self.world.on_start(self, self.runs[task], call)
        return 200, {}

    async def hold(self, call):
        if call["fencing_token"] < self.epoch:
            return 409, {"reason": "fence"}
        self.epoch = call["fencing_token"]
        if "deadline_ms" in call:
            self.extend_lease(call["deadline_ms"])
        for end in self.ends:
            if end[0] <= call["acked_upto"]:
                self.world.on_ack(end)
        self.ends = [e for e in self.ends if e[0] > call["acked_upto"]]
        if not self.ends and call.get("wait_ms"):
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       call["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass  # The lists as they are.
        now = time.monotonic()
        running = [[r.task, r.number, "",
                    0 if r.done_at is None else int(
                        100 - 100 * max(0, r.done_at - now) / r.seconds), 0]
                   for r in self.runs.values()]
        return 200, {"running": running, "ended": self.ends[:500]}


class Job:
    def __init__(self, name, rng):
        self.name = name
        self.steps = rng.choice([1, 1, 1, 2])
        self.count = rng.choice([1, 2, 3, 6])
        self.gang = rng.random() < 0.4
        self.gpus = rng.choice([1, 1, 2, 4])
        self.queue = rng.choice([0, 1, 2])
        self.seconds = rng.uniform(0.3, 2.5)
        self.payload = f"payload of {name}"
        self.cancel_after = rng.uniform(0.2, 3) if rng.random() < 0.1 else None
        self.accepted = self.cancelled = None  # Times of acknowledgement.
        self.cancel_sent = self.refused = False
        self.completed_at = self.state = None
        self.started = 0

    def body(self):
        step = {"count": self.count, "cpu": 4000, "mem_mb": 1000,
                "gpu": self.gpus, "estimate_ms": int(self.seconds * 1000)}
        if self.gang:
            step["gang"] = True
        steps = [dict(step) for _ in range(self.steps)]
        for number in range(1, self.steps):
            steps[number]["depends_on"] = [number - 1]
        return json.dumps({"task_spec": self.payload, "steps": steps}).encode()


class World:
    """All jobs and workers, and what must hold for them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.jobs, self.workers = {}, {}
        self.violations = []
        self.late_orders = 0.0
        self.fail_share = 0.04
        self.ends = {}     # Task: list of (run, how).
        self.acked = {}    # Task: time at which a good end was acknowledged.
        self.failed = {}   # Task: runs that failed.

    def broken(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def job_of(self, task):
        return self.jobs.get(task.split(".")[0])

    def members(self, run):
        """The running members of the run's gang, or the run itself."""
        job = self.job_of(run.task)
        if not job or not job.gang:
            return [run]
        unit = run.task.rsplit(".", 1)[0] + "."
        return [r for w in self.workers.values() for r in w.runs.values()
                if r.task.startswith(unit) and r.number == run.number]

    def on_start(self, worker, run, call):
        now = time.monotonic()
        job = self.job_of(run.task)
        if not job:
            return self.broken("UNASKED", f"{run.task} of no job")
        job.started += 1
        if call["task_spec"] != job.payload:
            self.broken("UNASKED", f"{run.task} with another payload")
        if job.cancelled and now > job.cancelled + 3 + 4:
            self.broken("UNASKED", f"{run.task} {now - job.cancelled:.1f} s "
                        "after the cancellation")
        if job.refused:
            self.broken("REFUSED", f"{run.task} starts")
        others = [w.name for w in self.workers.values()
                  if w is not worker and run.task in w.runs]
        if others:
            self.broken("TWICE", f"{run.task} runs on {others} and "
                        f"{worker.name}")
        if run.task in self.acked:
            self.broken("TWICE", f"{run.task} starts after an end that was "
                        "acknowledged")
        if job.completed_at and now > job.completed_at + 1:
            self.broken("TWICE", f"{run.task} starts after the job was shown "
                        "as completed")
        step = int(run.task.split(".")[2])
        if step and not self.step_done(job, step - 1):
            self.broken("ORDER", f"{run.task} before the step it depends on")
        run.seconds = job.seconds
        present = self.members(run)
        if not job.gang or len(present) == job.count:
            fails = self.rng.random() < self.fail_share
            for member in present:
                member.seconds = job.seconds
                member.done_at = now + job.seconds
                member.fails = fails and member is run

    def step_done(self, job, step):
        done = [index for index in range(job.count)
                if any(how == "done" for _, how in
                       self.ends.get(f"{job.name}.0.{step}.{index}", []))]
        return bool(done) if job.gang else len(done) == job.count

    def finish(self, run):
        """The run's work is over; a gang ends together."""
        members = self.members(run)
        how = "failed" if any(getattr(m, "fails", False)
                              for m in members) else "done"
        for member in members:
            if member.task in member.worker.runs:
                member.worker.end(member, how)

    def on_end(self, worker, run, how):
        self.ends.setdefault(run.task, []).append((run.number, how))
        if how == "failed":
            self.failed.setdefault(run.task, set()).add(run.number)
        if how not in ("done", "failed"):
            for member in self.members(run):
                if member.task in member.worker.runs:
                    member.worker.end(member, "broken")

    def on_ack(self, end):
        if end[3] == "done":
            self.acked.setdefault(end[1], time.monotonic())

    def on_state(self, job, state):
        """A caller was shown a state."""
        if job.completed_at and state != "completed":
            self.broken("MIXED", f"{job.name} is {state} after completed")
        if state == "completed":
            job.completed_at = job.completed_at or time.monotonic()
            for step in range(job.steps):
                if not self.step_done(job, step):
                    self.broken("MIXED", f"{job.name} is completed before "
                                f"step {step} is done")
        if state == "failed" and not any(
                len(runs) >= 3 for task, runs in self.failed.items()
                if task.startswith(job.name)):
            self.broken("LOST", f"{job.name} is failed without three failures")
        if state == "cancelled" and not job.cancel_sent:
            self.broken("LOST", f"{job.name} is cancelled by nobody")
        job.state = state
