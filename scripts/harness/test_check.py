"""Tests of the checker: a checker that finds no fault proves nothing."""

import unittest

from .check import check, percentile
from .load import SeenRequest, expected_answer


def run(task, start=0, end=10, attempt=1, ended="finished"):
    return {"job": "j", "task": task, "attempt": attempt, "started_ms": start,
            "ended_ms": end, "ended": ended}


def request(outcome="finished", tasks=2, idempotent=False, parts=None):
    seen = SeenRequest({"shape": {"tasks": tasks}, "input": "x",
                        "idempotent": idempotent}, "tide", "k")
    seen.job = "j"
    seen.outcome = outcome
    if parts is None:
        parts = [expected_answer("x", t, tasks) for t in range(tasks)]
    seen.parts = parts
    return seen


def fault_counts(seen, runs):
    verdict = check([seen], {"runs": runs})
    return (verdict.lost, verdict.twice, verdict.partial_gangs,
            verdict.wrong_answer)


class CheckTest(unittest.TestCase):
    # Guards against false alarms, which would hide real ones.
    def test_complete_runs_with_expected_answers_have_no_fault(self):
        self.assertEqual(fault_counts(request(), [run(0), run(1)]),
                         (0, 0, 0, 0))

    # Guards against counting a job without an outcome as done.
    def test_job_without_outcome_or_complete_attempt_is_lost(self):
        self.assertEqual(fault_counts(request(None), [run(0), run(1)])[0], 1)
        runs = [run(0), run(1, ended="stopped")]
        self.assertEqual(fault_counts(request(), runs)[0], 1)
        runs = [run(0), run(1, ended="stopped"), run(1, 20, 30, 2),
                run(0, 20, 30, 2, "stopped")]
        self.assertEqual(fault_counts(request(idempotent=True), runs)[0], 1)

    # Guards against overlooking a second start.
    def test_second_start_or_overlapping_run_is_twice(self):
        again = [run(0), run(1), run(0, 20, 30, 2), run(1, 20, 30, 2)]
        self.assertEqual(fault_counts(request(), again)[1], 1)
        self.assertEqual(fault_counts(request(idempotent=True), again)[1], 0)
        overlap = [run(0), run(1), run(0, 5, 30, 2), run(1, 20, 30, 2)]
        self.assertEqual(fault_counts(request(idempotent=True), overlap)[1], 1)
        live = [run(0, ended="running", end=0), run(0, 5, 30, 2)]
        seen = request(tasks=1, idempotent=True)
        self.assertEqual(fault_counts(seen, live)[1], 1)

    # Guards against overlooking a gang of which only a part ran.
    def test_attempt_with_missing_tasks_is_a_partial_gang(self):
        runs = [run(0, ended="stopped"), run(0, 20, 30, 2), run(1, 20, 30, 2)]
        self.assertEqual(fault_counts(request(idempotent=True), runs)[2], 1)

    # Guards against accepting another request's answer or a missing part.
    def test_unexpected_outcome_or_parts_are_a_wrong_answer(self):
        good = [run(0), run(1)]
        other = [expected_answer("y", t, 2) for t in range(2)]
        self.assertEqual(fault_counts(request(parts=other), good)[3], 1)
        short = [expected_answer("x", 0, 2)]
        self.assertEqual(fault_counts(request(parts=short), good)[3], 1)
        self.assertEqual(fault_counts(request("not_run"), good)[3], 1)
        self.assertEqual(fault_counts(request("failed"), good)[3], 1)
        self.assertEqual(fault_counts(request("unknown"), good)[3], 0)

    # Guards against a percentile that leaves out the slowest value.
    def test_percentile_includes_the_slowest_value(self):
        self.assertEqual(percentile(range(1, 101), 99), 99)
        self.assertEqual(percentile([1, 9], 99), 9)
        self.assertIsNone(percentile([], 99))


if __name__ == "__main__":
    unittest.main()
