#!/usr/bin/env python3
"""Measures the cost of a daemon's control traffic and how it grows.

Control traffic is what a daemon exchanges with the log, the host list, workers
and peers: HTTP headers and bodies in both directions, without TCP and IP
headers. Callers' requests are not counted as control bytes, but the CPU and
memory figures of the process include them.

Deployments of several sizes run side by side. Each is measured idle and again
with one quantity raised: running tasks, accounts, or list changes. Prints one
line per figure: `figure NAME VALUE UNIT [target VALUE]`.
"""

import argparse
import sys
import threading
import time

from harness.deployment import account_token, customers, plans, sha256
from harness.traffic import TRAFFIC_KINDS, WORKERS_UP, SLOTS_USED, Cost, \
    SizedDeployment

# Size that the budget applies to; docs/design.md, section 1.
OWNER_WORKERS, OWNER_TASKS, CELLS = 720, 17_400, 5
ACCOUNTS, CHANGES_A_MINUTE, JOBS_A_SECOND = 760, 1_400 / 1_440, 1_800 / 86_400
BUDGET = {"bytes": 3_000, "cpu": 4, "memory": 32}

# Workers answer a sync after 60 s without events: a window must cover every
# worker's exchange the same number of times.
WINDOW_SECONDS = 60
GANG_TASKS = 64
# The stand-in reports each task's usage 30 s after its start, so that the
# window covers one report of each task. The rate of later reports is bounded
# for a whole cell.
REPORTS_A_SECOND = 5
CHANGES_TESTED_A_MINUTE = 30


def plan_list():
    content = plans()
    for plan in content["plans"]:
        plan["guarantee"] = []
        plan["max_jobs"] = 10_000
    return content


def customer_list(count, turn=0):
    """`count` accounts; the last one's token depends on `turn`, if not 0."""
    content = customers()
    for number in range(len(content["customers"]), count):
        content["customers"].append(
            {
                "account": f"account-{number}",
                "token_sha256": sha256(f"token-{number}"),
                "plan": "plan-tide",
                "departed": False,
            }
        )
    if turn:
        content["customers"][-1]["token_sha256"] = sha256(f"turn-{turn}")
    return content


class Case(threading.Thread):
    """One deployment, measured idle and then with one quantity raised."""

    def __init__(self, args, name, daemons, sizes, raised=None):
        super().__init__(name=name)
        self.args = args
        self.daemon_count = daemons
        self.sizes = sizes
        self.raised = raised
        self.idle = self.raised_cost = None
        self.running = None  # While the tasks run, after their usage reports.
        self.amount = 0
        self.log_bytes_a_job = 0
        self.owners = {}
        self.failure = None
        self.deployment = None

    def run(self):
        try:
            self.deployment = SizedDeployment(
                self.args.build, self.args.seed, *self.sizes
            )
            self._measure()
        except (Exception, SystemExit) as error:  # Reported by main().
            self.failure = repr(error)
        finally:
            if self.deployment:
                self.deployment.close()
                self.deployment.discard_evidence()

    def _start(self):
        d = self.deployment
        for number in range(1, self.daemon_count + 1):
            centre = f"dc-{1 + (number - 1) % d.cells}"
            d.start_daemon(f"entry-{number}", centre)
        if not d.balancer.wait_ready(sorted(d.daemons), 60):
            raise SystemExit("a daemon is not ready after 60 s")
        up = d.wait_for_metric(WORKERS_UP, d.workers, 60)
        if up < d.workers:
            raise SystemExit(f"{up:.0f} of {d.workers} workers are up")
        d.publish("plans", plan_list())
        d.publish("customers", customer_list(4))

    def _measure_costs(self, during=None):
        d = self.deployment
        before = d.sample()
        end = time.monotonic() + WINDOW_SECONDS
        if during:
            during(end)
        time.sleep(max(0, end - time.monotonic()))
        after = d.sample()
        return {name: Cost(before[name], after[name]) for name in before}

    def _measure(self):
        self._start()
        # The first syncs of all workers complete during this pause.
        time.sleep(5)
        self.owners = {
            n: self.deployment.owned_cells(n) for n in self.deployment.daemons
        }
        self.idle = self._measure_costs()
        if self.raised:
            self.raised_cost = getattr(self, "_raise_" + self.raised)()

    def _raise_accounts(self):
        self.deployment.publish("customers", customer_list(ACCOUNTS))
        self.amount = ACCOUNTS
        return self._measure_costs()

    def _raise_changes(self):
        def publish(end):
            while time.monotonic() < end - 1:
                began = time.monotonic()
                self.amount += 1
                self.deployment.publish(
                    "customers", customer_list(4, self.amount)
                )
                pause = 60 / CHANGES_TESTED_A_MINUTE
                time.sleep(max(0, pause - (time.monotonic() - began)))

        return self._measure_costs(publish)

    def _raise_tasks(self):
        d = self.deployment
        before = d.sample()
        gangs = self.args.tasks // GANG_TASKS
        accepted = 0
        for number in range(gangs):
            body = {
                "shape": {"tasks": GANG_TASKS, "accelerators": 0, "slots": 1},
                "kind": "sleep:3600000",
                "input": f"gang-{number}",
                "idempotent": True,
            }
            accepted += d.submit(body, account_token("tide")).ok
        wanted = accepted * GANG_TASKS
        self.amount = d.wait_for_metric(SLOTS_USED, wanted, 45)
        after = d.sample()
        log_bytes = sum(
            after[n].bytes["log"] - before[n].bytes["log"] for n in before
        )
        elapsed = sum(after[n].taken_at - before[n].taken_at for n in before)
        idle = sum(c.byte_rates["log"] for c in self.idle.values())
        log_bytes -= idle * elapsed / len(before)
        self.log_bytes_a_job = log_bytes / max(1, accepted) / len(before)
        raised_cost = self._measure_costs()
        self.running = self._measure_costs()
        return raised_cost


def print_figure(name, value, unit, target=None):
    suffix = "" if target is None else f" target {target}"
    print(f"figure {name} {value:.4g} {unit}{suffix}", flush=True)


def print_cost(label, cost, owned):
    role = f"owner_of_{owned}" if owned else "no_cell"
    name = f"{label}.{role}"
    for kind in TRAFFIC_KINDS:
        print_figure(f"{name}.{kind}", cost.byte_rates[kind], "B/s")
    print_figure(f"{name}.control", cost.total_rate, "B/s", BUDGET["bytes"])
    print_figure(f"{name}.cpu", cost.cpu_percent, "%", BUDGET["cpu"])
    print_figure(f"{name}.resident", cost.rss_mb, "MB", BUDGET["memory"])
    print_figure(f"{name}.anonymous", cost.anon_mb, "MB")


def print_case(case):
    if case.failure:
        print(f"failed {case.name}: {case.failure}", flush=True)
    for state, costs in (
        ("idle", case.idle),
        (case.raised, case.raised_cost),
        ("quiet", case.running),
    ):
        for daemon, cost in (costs or {}).items():
            owned = case.owners.get(daemon, 0)
            print_cost(f"{case.name}.{daemon}.{state}", cost, owned)
    if case.raised_cost:
        print_figure(f"{case.name}.{case.raised}.amount", case.amount, case.raised)


def cost_of_only_daemon(costs):
    return next(iter(costs.values()))


def slope(name, low, high, span, kinds, scale=1.0):
    """Growth per unit between two costs, for bytes, CPU and memory."""
    rise = sum(high.byte_rates[k] - low.byte_rates[k] for k in kinds) / span * scale
    cpu = (high.cpu_percent - low.cpu_percent) / span * scale
    memory = (high.anon_mb - low.anon_mb) / span * scale
    print_figure(f"slope.{name}.bytes", rise, "B/s")
    print_figure(f"slope.{name}.cpu", cpu, "%")
    print_figure(f"slope.{name}.memory", memory, "MB")
    return {"bytes": rise, "cpu": cpu, "memory": memory}


def slopes(cases):
    """Growth of an owner's cost per unit of each quantity. Quantities that were
    not measured are left out. "report" and "cell" are plain numbers, the
    others dicts of bytes, CPU and memory."""
    growth = {}
    small, large = cases["w48"], cases["w720"]
    if small.idle and large.idle:
        growth["worker"] = slope(
            "per_worker", cost_of_only_daemon(small.idle),
            cost_of_only_daemon(large.idle),
            OWNER_WORKERS - 48, ["worker", "hosts"],
        )
    if large.raised_cost and large.running and large.amount:
        growth["task"] = slope(
            "per_task", cost_of_only_daemon(large.idle),
            cost_of_only_daemon(large.running),
            large.amount,
            ["worker", "log"],
        )
        rise = cost_of_only_daemon(large.raised_cost).byte_rates[
            "worker"] - cost_of_only_daemon(large.running).byte_rates["worker"]
        growth["report"] = rise * WINDOW_SECONDS / large.amount
        print_figure("bytes_a_usage_report", growth["report"], "B")
    for quantity, case, kinds in (
        ("account", cases["w240"], ["log"]),
        ("change_a_minute", small, ["log"]),
    ):
        if case.raised_cost and case.amount:
            growth[quantity] = slope(
                "per_" + quantity, cost_of_only_daemon(case.idle),
                cost_of_only_daemon(case.raised_cost), case.amount, kinds,
            )
    three, one = cases["d3"], cases["w48"]
    if three.idle and one.idle:
        mean = sum(c.byte_rates["log"] for c in three.idle.values()) / 3
        rise = (mean - cost_of_only_daemon(one.idle).byte_rates["log"]) / 2
        print_figure("slope.per_cell.log_bytes", rise, "B/s")
        growth["cell"] = rise
    return growth


def mean_peer_traffic(case):
    """Mean bytes per second that an owner exchanges with its peers."""
    owners = [c for name, c in case.idle.items() if case.owners.get(name)]
    total = sum(c.byte_rates["peer"] + c.byte_rates["peer_server"] for c in owners)
    mean = total / max(1, len(owners))
    print_figure("owner_with_peers", mean, "B/s")
    return mean


def estimate_at_target(cases, growth):
    """Extrapolates the cost of an owner at the target size from the slopes.
    No such deployment is run; checkpoints, which are taken every 30 minutes,
    are not included."""
    needed = {"worker", "task", "account", "change_a_minute", "cell", "report"}
    if set(growth) != needed or not cases["d6"].idle:
        print("estimate missing: a case was not measured", flush=True)
        return
    base = cost_of_only_daemon(cases["w48"].idle)
    for what, start in (
        ("bytes", base.total_rate + growth["cell"] * (CELLS - 1)),
        ("cpu", base.cpu_percent),
        ("memory", base.rss_mb),
    ):
        value = start + growth["worker"][what] * (OWNER_WORKERS - 48)
        value += growth["task"][what] * OWNER_TASKS
        value += growth["account"][what] * ACCOUNTS
        value += growth["change_a_minute"][what] * CHANGES_A_MINUTE
        if what == "bytes":
            value += cases["w720"].log_bytes_a_job * JOBS_A_SECOND
            value += growth["report"] * REPORTS_A_SECOND
            value += mean_peer_traffic(cases["d6"])
        unit = {"bytes": "B/s", "cpu": "%", "memory": "MB"}[what]
        print_figure(
            f"estimate.owner_at_target.{what}", value, unit, BUDGET[what]
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--tasks", type=int, default=3_200)
    args = parser.parse_args()
    print(f"bench-control seed={args.seed} tasks={args.tasks} "
          f"window={WINDOW_SECONDS} s", flush=True)
    cases = {
        case.name: case
        for case in (
            Case(args, "w48", 1, (1, 6, 8, 8), "changes"),
            Case(args, "w240", 1, (1, 30, 8, 8), "accounts"),
            Case(args, "w720", 1, (1, 90, 8, 32), "tasks"),
            Case(args, "d3", 3, (3, 2, 8, 8)),
            Case(args, "d6", 6, (3, 2, 8, 8)),
        )
    }
    for case in cases.values():
        case.start()
    for case in cases.values():
        case.join()
        print_case(case)
    estimate_at_target(cases, slopes(cases))
    if cases["w720"].raised_cost:
        print_figure("log_bytes_a_job", cases["w720"].log_bytes_a_job, "B")
    return 1 if any(case.failure for case in cases.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
