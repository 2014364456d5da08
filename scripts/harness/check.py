"""Compares the responses to callers with the runs on the workers.

The daemons' own counters are not used, because a faulty daemon could report
wrong ones.
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
    def passed(self):
        return not (self.lost or self.twice or self.partial_gangs or self.wrong_answer)

    def summary(self):
        return " ".join(f"{f}={getattr(self, f)}" for f in self.FIELDS)

    def add_fault(self, field, text):
        setattr(self, field, getattr(self, field) + 1)
        self.details.append(f"{field}: {text}")


def runs_by_job(audit):
    runs = defaultdict(list)
    for run in audit["runs"]:
        runs[run["job"]].append(run)
    return runs


def started_twice(runs, idempotent):
    """Whether a non-idempotent task started more than once, or two runs of an
    idempotent task overlapped."""
    by_task = defaultdict(list)
    for run in runs:
        by_task[run["task"]].append(run)
    for task_runs in by_task.values():
        if not idempotent and len(task_runs) > 1:
            return True
        task_runs.sort(key=lambda run: run["started_ms"])
        for first, second in zip(task_runs, task_runs[1:]):
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
    return [a for a, ran in started.items() if len(ran) != tasks]


def check(requests, audit, failing=()):
    """Returns the verdict over all accepted requests. `failing` names the
    workers on which the script made tasks fail."""
    verdict = Verdict()
    runs = runs_by_job(audit)
    for seen in requests:
        if seen.job is not None:
            check_request(verdict, seen, runs.get(seen.job, []), failing)
    return verdict


def is_injected_failure(seen, runs, failing):
    """Whether a job failed because its task failed on a worker that the script
    made fail. This excuses non-idempotent jobs only; an idempotent job has to
    be run again on another worker."""
    return (seen.outcome == "failed" and not seen.body["idempotent"]
            and any(run["ended"] == "failed" and run["worker"] in failing
                    for run in runs))


def check_request(verdict, seen, runs, failing):
    verdict.accepted += 1
    tasks = seen.body["shape"]["tasks"]
    if seen.outcome is None:
        verdict.add_fault("lost", f"{seen.job} {seen.body} has no outcome")
    elif seen.outcome in ("finished", "not_run", "unknown"):
        setattr(verdict, seen.outcome, getattr(verdict, seen.outcome) + 1)
    if started_twice(runs, seen.body["idempotent"]):
        verdict.add_fault("twice", f"{seen.job} {runs}")
    if tasks > 1:
        for attempt in partial_attempts(runs, tasks):
            verdict.add_fault("partial_gangs", f"{seen.job} attempt {attempt} {runs}")
    if not is_injected_failure(seen, runs, failing):
        check_answer(verdict, seen, runs, tasks)


def check_answer(verdict, seen, runs, tasks):
    if seen.outcome == "not_run" and runs:
        verdict.add_fault("wrong_answer",
                          f"{seen.job} has outcome not_run, but ran: {runs}")
    if seen.outcome in ("failed", "cancelled"):
        # The load has no requests that fail by themselves, and no caller
        # cancels one.
        verdict.add_fault("wrong_answer", f"{seen.job} {seen.outcome}: {runs}")
    if seen.outcome != "finished":
        return
    expected = [expected_answer(seen.body["input"], t, tasks) for t in range(tasks)]
    if seen.parts != expected:
        verdict.add_fault("wrong_answer",
                          f"{seen.job} answered {seen.parts}, expected {expected}")
    finished = defaultdict(set)
    for run in runs:
        if run["ended"] == "finished":
            finished[run["attempt"]].add(run["task"])
    if not any(len(finished_tasks) == tasks for finished_tasks in finished.values()):
        verdict.add_fault("lost", f"{seen.job} finished, but the workers ran {runs}")


def percentile(values, share):
    """The smallest value that at least `share` of the values do not exceed."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(1, -(-len(ordered) * share // 100))
    return ordered[int(rank) - 1]
