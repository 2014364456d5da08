"""A worker as the platform's pages describe it: runs under a lease, a list of
ends, a fencing token. It runs tasks that are no gangs and save nothing. How
long a task works stands in its task_spec: {"work_s": N}."""

import asyncio
import json
import time

from net import Server


class Run:
    def __init__(self, task, number, work_s):
        self.task, self.number = task, number
        self.work_s = work_s
        self.started_at = time.monotonic()
        self.stop_at = None


class Worker:
    def __init__(self, deployment, name, zone, rack, kind, link_of_zone):
        self.deployment = deployment
        self.bounds = deployment.bounds
        self.name, self.zone = name, zone
        self.labels = [kind, rack]
        self.capacity = {"cpu": 64000, "mem_mb": 262144, "gpu": 8}
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.runs, self.ends, self.closed = {}, [], {}
        self.next_end, self.epoch, self.lease_until = 1, 0, 0
        self.changed = asyncio.Event()
        self.up = True
        # One address for the daemons of each zone, so that the paths from a
        # zone can be cut.
        self.servers = {
            caller: Server(self._handler(caller), link_of_zone(caller, zone))
            for caller in deployment.zones}
        self.addresses = {}

    async def start(self):
        for zone, server in self.servers.items():
            self.addresses[zone] = await server.start("127.0.0.1")

    def entry(self):
        return {"service": "render", "addr": "", "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready",
                "cold_left_ms": 0, "seq": 1, "born": self.born,
                "capacity": self.capacity, "labels": self.labels}

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def die(self):
        """The worker crashes: it is silent from now on."""
        self.up = False
        for run in list(self.runs.values()):
            self.deployment.on_end(self, run, "lost with its worker")
        self.runs.clear()

    def start_again(self):
        """Starts again under the same id, and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.ends, self.closed = [], {}
        self.next_end, self.epoch, self.lease_until = 1, 0, 0
        self.up = True

    def end(self, run, how):
        del self.runs[run.task]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.ends.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.deployment.on_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def step(self):
        now = time.monotonic()
        lapsed = self.clock() > self.lease_until
        for run in list(self.runs.values()):
            if lapsed:
                self.end(run, "lapsed")
            elif run.stop_at is not None:
                if now >= run.stop_at:
                    self.end(run, "stopped")
            elif now >= run.started_at + run.work_s:
                self.end(run, "done")

    def _extend(self, until):
        if until is not None:
            longest = self.clock() + self.bounds["hold_max_ms"]
            self.lease_until = max(self.lease_until, min(until, longest))

    def _handler(self, zone):
        async def handle(method, path, query, headers, body):
            del method, query
            if not self.up:
                return None
            if headers.get("x-heathersaddle-expect-instance") != self.name:
                return 421, b"{}"
            call = json.loads(body)
            if call["fencing_token"] < self.epoch:
                status, answer = 409, {"reason": "fence"}
            else:
                self.epoch = call["fencing_token"]
                self.step()
                self.deployment.last_caller_zone = zone
                if path == "/heathersaddle/run-start":
                    status, answer = self._start(call, zone)
                elif path == "/heathersaddle/run-stop":
                    status, answer = self._stop(call)
                elif path == "/heathersaddle/hold":
                    status, answer = await self._hold(call)
                else:
                    return 404, b"{}"
            if not self.up:
                return None
            return status, json.dumps({"clock_ms": self.clock(),
                                       "born": self.born, **answer}).encode()

        return handle

    def _start(self, call, zone):
        task, number = call["task"], call["run"]
        if call["deadline_ms"] < self.clock():
            return 409, {"reason": "late"}
        self._extend(call["deadline_ms"])
        run = self.runs.get(task)
        if run and run.number == number:
            return 200, {}
        advisor = self.deployment.advisor
        if advisor and task.split(".")[0] in self.deployment.urgent_jobs and \
                not advisor.is_valid(call.get("ticket"), self.name,
                                     task.rpartition(".")[0]):
            return 409, {"reason": "ticket"}
        if run or number <= self.closed.get(task, 0):
            return 409, {"reason": "old"}
        need = self.deployment.need_of(task)
        used = [self.deployment.need_of(other) for other in self.runs]
        for field, room in self.capacity.items():
            if need[field] + sum(n[field] for n in used) > room:
                return 409, {"reason": "room"}
        run = Run(task, number, json.loads(call["task_spec"])["work_s"])
        self.runs[task] = run
        self.deployment.on_start(self, run, zone)
        return 200, {}

    def _stop(self, call):
        task, number = call["task"], call["run"]
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number == number and run.stop_at is None:
            run.stop_at = time.monotonic() + self.deployment.stop_s
        return 200, {}

    async def _hold(self, call):
        self._extend(call.get("deadline_ms"))
        for end in self.ends:
            if end[0] <= call["acked_upto"]:
                self.deployment.on_ack(self, end)
        self.ends = [e for e in self.ends if e[0] > call["acked_upto"]]
        if not self.ends and call.get("wait_ms"):
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       call["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass  # Nothing has ended.
        now = time.monotonic()
        running = [[r.task, r.number, "",
                    min(100, int(100 * (now - r.started_at) / r.work_s)), 0]
                   for r in self.runs.values()]
        return 200, {"running": running, "ended": self.ends[:500]}
