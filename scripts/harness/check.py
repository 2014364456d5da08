"""Compares what the callers saw with what the workers ran.

The daemons' own counters are not consulted: a fault in a daemon must not hide
itself.
"""

from collections import defaultdict

from .load import expected_answer


class Verdict:
    FIELDS = (
        "accepted",
        "finished",
        "not_run",
        "unknown",
        "lost",
        "twice",
        "partial_gangs",
        "wrong_answer",
    )

    def __init__(self):
        for field in self.FIELDS:
            setattr(self, field, 0)
        self.details = []

    @property
    def good(self):
        return not (self.lost or self.twice or self.partial_gangs or self.wrong_answer)

    def line(self):
        return " ".join(f"{f}={getattr(self, f)}" for f in self.FIELDS)

    def note(self, field, text):
        setattr(self, field, getattr(self, field) + 1)
        self.details.append(f"{field}: {text}")


def runs_by_job(audit):
    runs = defaultdict(list)
    for run in audit["runs"]:
        runs[run["job"]].append(run)
    return runs


def started_twice(runs, idempotent):
    """A non-idempotent task starts at most once. An idempotent one may start
    again, but two of its runs never overlap."""
    by_task = defaultdict(list)
    for run in runs:
        by_task[run["task"]].append(run)
    for same in by_task.values():
        if not idempotent and len(same) > 1:
            return True
        same.sort(key=lambda run: run["started_ms"])
        for first, second in zip(same, same[1:]):
            if first["ended"] == "running":
                return True
            if second["started_ms"] < first["ended_ms"]:
                return True
    return False


def partial_attempts(runs, tasks):
    """Attempts in which some tasks of the gang ran and others never did."""
    started = defaultdict(set)
    for run in runs:
        started[run["attempt"]].add(run["task"])
    return [a for a, seen in started.items() if len(seen) != tasks]


def check(requests, audit, failing=()):
    """`failing` names the workers on which the script made tasks fail."""
    verdict = Verdict()
    runs = runs_by_job(audit)
    for seen in requests:
        if seen.job is not None:
            check_request(verdict, seen, runs.get(seen.job, []), failing)
    return verdict


def made_to_fail(seen, runs, failing):
    """A job that may not start again fails with its task on a failing worker.
    Any other job is to be run again elsewhere."""
    return (seen.outcome == "failed" and not seen.body["idempotent"]
            and any(run["ended"] == "failed" and run["worker"] in failing
                    for run in runs))


def check_request(verdict, seen, runs, failing):
    verdict.accepted += 1
    tasks = seen.body["shape"]["tasks"]
    if seen.outcome is None:
        verdict.note("lost", f"{seen.job} {seen.body} has no outcome")
    elif seen.outcome in ("finished", "not_run", "unknown"):
        setattr(verdict, seen.outcome, getattr(verdict, seen.outcome) + 1)
    if started_twice(runs, seen.body["idempotent"]):
        verdict.note("twice", f"{seen.job} {runs}")
    if tasks > 1:
        for attempt in partial_attempts(runs, tasks):
            verdict.note("partial_gangs", f"{seen.job} attempt {attempt} {runs}")
    if not made_to_fail(seen, runs, failing):
        check_answer(verdict, seen, runs, tasks)


def check_answer(verdict, seen, runs, tasks):
    if seen.outcome == "not_run" and runs:
        verdict.note("wrong_answer", f"{seen.job} not_run, but ran: {runs}")
    if seen.outcome in ("failed", "cancelled"):
        # No request of the mix fails by itself or is cancelled.
        verdict.note("wrong_answer", f"{seen.job} {seen.outcome}: {runs}")
    if seen.outcome != "finished":
        return
    wanted = [expected_answer(seen.body["input"], t, tasks) for t in range(tasks)]
    if seen.parts != wanted:
        verdict.note("wrong_answer", f"{seen.job} {seen.parts} is not {wanted}")
    finished = defaultdict(set)
    for run in runs:
        if run["ended"] == "finished":
            finished[run["attempt"]].add(run["task"])
    if not any(len(seen_tasks) == tasks for seen_tasks in finished.values()):
        verdict.note("lost", f"{seen.job} finished, but the workers ran {runs}")


def percentile(values, share):
    """The smallest value that at least `share` of the values do not exceed."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(1, -(-len(ordered) * share // 100))
    return ordered[int(rank) - 1]
