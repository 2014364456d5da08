"""Stand-ins for the platform's workers, and the work that they do."""

import asyncio
import json
import random
import time

from wire import Server

HOLD_MAX_MS, GANG_S, SAVE_S, STOP_S = 6000, 3.0, 0.5, 0.1


class Job:
    """What a client has submitted; `seconds` is how long each task works.

    `progress_text(ms)` makes the `saved` of a task that has worked for `ms`;
    it is a JSON text with that number under "worked_ms".
    """

    def __init__(self, ident, steps, seconds, progress_text=None):
        self.id, self.steps, self.seconds = ident, steps, seconds
        self.spec = f"work of {ident}"
        self.progress_text = progress_text
        # What clients have seen.
        self.accepted_at = self.state = self.state_at = None
        self.statuses = []

    def body(self):
        return json.dumps({"task_spec": self.spec,
                           "steps": self.steps}).encode()


class Run:
    def __init__(self, worker, task, number, job, step, saved):
        self.worker, self.task, self.number = worker, task, number
        self.job, self.step, self.saved = job, step, saved
        self.arrived = time.monotonic()
        self.base_ms = json.loads(saved)["worked_ms"] if saved else 0
        self.from_time = None  # Since when it works.
        self.stop_at = None
        self.unit = task.rsplit(".", 1)[0] if step.get("gang") else task

    def worked_ms(self):
        if self.from_time is None:
            return self.base_ms
        return self.base_ms + int((time.monotonic() - self.from_time) * 1000)

    def save(self):
        if self.step.get("saves_progress") and self.job.progress_text:
            self.saved = self.job.progress_text(self.worked_ms())


class World:
    """All jobs, workers and runs. Each start and end is recorded."""

    def __init__(self, record):
        self.record, self.jobs, self.workers = record, {}, []
        self.starts, self.ends = [], []  # (time, worker, task, run[, how])

    def members(self, run):
        return [r for w in self.workers for r in w.runs.values()
                if r.unit == run.unit and r.number == run.number]

    def on_start(self, run):
        self.starts.append((time.monotonic(), run.worker.id, run.task,
                            run.number))
        if not run.step.get("gang"):
            run.from_time = time.monotonic()
            return
        members = self.members(run)
        if len(members) == run.step["count"]:
            for member in members:
                member.from_time = time.monotonic()

    def on_end(self, run, how):
        self.ends.append((time.monotonic(), run.worker.id, run.task,
                          run.number, how))
        if run.step.get("gang") and how not in ("done", "broken"):
            for member in self.members(run):
                if member is not run:
                    member.worker.end(member, "broken")

    def running(self, job):
        return sum(1 for w in self.workers for r in w.runs.values()
                   if r.job is job)

    async def tick(self):
        while True:
            for worker in self.workers:
                worker.step()
            await asyncio.sleep(0.02)


class Worker:
    def __init__(self, world, store, ident, host, zone, kind, rack, capacity):
        self.world, self.store, self.id, self.host = world, store, ident, host
        self.zone, self.labels, self.capacity = zone, [kind, rack], capacity
        self.server, self.port, self.seq = Server(self.handle), 0, 0
        self.is_up, self.next_beat = False, 0.0
        self.shed_share = 0.0  # Of the starts, which it refuses with 503.
        self.begin_life()
        world.workers.append(self)

    def begin_life(self):
        self.born, self.began = int(time.time() * 1000), time.monotonic()
        self.runs, self.ended, self.closed = {}, [], {}
        self.last_end, self.fence, self.lease_ms = 0, 0, 0
        self.changed = asyncio.Event()

    async def start(self):
        self.begin_life()
        self.port = await self.server.up(self.host, self.port)
        self.is_up, self.next_beat, self.seq = True, 0.0, 0

    def crash(self):
        lost, self.is_up = list(self.runs.values()), False
        self.server.down()
        self.runs = {}
        for run in lost:
            self.world.on_end(run, "crash")

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def beat(self):
        self.seq += 1
        self.store.put("keyed.servers", self.id, {
            "service": "render", "addr": f"{self.host}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "cold_left_ms": 0, "seq": self.seq, "born": self.born,
            "capacity": self.capacity, "labels": self.labels})

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.last_end += 1
        saved = "" if how in ("done", "failed") else run.saved
        self.ended.append([self.last_end, run.task, run.number, how, saved])
        self.changed.set()
        self.changed = asyncio.Event()
        self.world.on_end(run, how)

    def step(self):
        if not self.is_up:
            return
        now = time.monotonic()
        if now >= self.next_beat:
            self.next_beat = now + 1.5
            self.beat()
        for run in list(self.runs.values()):
            if self.clock() > self.lease_ms:
                self.end(run, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                run.save()
                self.end(run, "stopped")
            elif run.from_time is None:
                if now - run.arrived > GANG_S:
                    self.end(run, "alone")
            elif run.worked_ms() >= run.job.seconds * 1000:
                for member in self.world.members(run):
                    member.worker.end(member, "done")
            elif run.step.get("saves_progress") and now >= getattr(
                    run, "next_save", run.from_time + SAVE_S):
                run.next_save = now + SAVE_S
                run.save()

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms,
                            min(deadline_ms, self.clock() + HOLD_MAX_MS))

    def fits(self, step):
        for name in ("cpu", "mem_mb", "gpu"):
            used = sum(r.step.get(name, 0) for r in self.runs.values())
            if used + step.get(name, 0) > self.capacity[name]:
                return False
        return True

    async def handle(self, method, path, query, headers, body):
        if path == "/heathersaddle/run-start" and \
                random.random() < self.shed_share:
            return 503, b""  # It is unhealthy and has done nothing.
        if headers.get("x-heathersaddle-expect-instance") != self.id:
            return self.answer(421, {})
        call = json.loads(body)
        if call.get("fencing_token", 0) < self.fence:
            return self.answer(409, {"reason": "fence"})
        self.fence = call["fencing_token"]
        if path == "/heathersaddle/hold":
            return await self.hold(call)
        if path == "/heathersaddle/run-start":
            return self.answer(*self.run_start(call))
        if path == "/heathersaddle/run-stop":
            task, number = call["task"], call["run"]
            self.closed[task] = max(self.closed.get(task, 0), number)
            run = self.runs.get(task)
            if run and run.number == number and run.stop_at is None:
                run.stop_at = time.monotonic() + STOP_S
            return self.answer(200, {})
        return 404, b"{}"

    def answer(self, status, content):
        return status, json.dumps({"clock_ms": self.clock(),
                                   "born": self.born, **content}).encode()

    def run_start(self, call):
        task, number = call["task"], call["run"]
        ident, _, step, _ = task.split(".")
        if call["deadline_ms"] < self.clock():
            return 409, {"reason": "late"}
        self.extend(call["deadline_ms"])
        run = self.runs.get(task)
        if run and run.number == number:
            return 200, {}
        if run or number <= self.closed.get(task, 0):
            return 409, {"reason": "old"}
        job = self.world.jobs.get(ident)
        if job is None:
            self.world.record(f"{self.id}: start of the unknown {task}")
            return 400, {}
        if not self.fits(job.steps[int(step)]):
            return 409, {"reason": "room"}
        run = Run(self, task, number, job, job.steps[int(step)],
                  call.get("saved", ""))
        self.runs[task] = run
        self.world.on_start(run)
        return 200, {}

    async def hold(self, call):
        if "deadline_ms" in call:
            self.extend(call["deadline_ms"])
        self.ended = [e for e in self.ended if e[0] > call["acked_upto"]]
        if not self.ended and call.get("wait_ms"):
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       call["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass  # Nothing has ended.
        running = [[r.task, r.number, r.saved,
                    min(99, int(r.worked_ms() / (r.job.seconds * 10))),
                    r.step.get("cpu", 0)] for r in self.runs.values()]
        return self.answer(200, {"running": running,
                                 "ended": self.ended[:500]})
