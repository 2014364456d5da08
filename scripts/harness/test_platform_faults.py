"""Tests of the figures of platform faults: they must be able to fail."""

import unittest

from .check import check
from .platform_faults import (covered_offset, starts_after_leaving,
                              starts_in_quarantine)
from .test_check import request


def run(job, start, end, ended="finished", worker="w"):
    return {"job": job, "worker": worker, "started_ms": start, "ended_ms": end,
            "ended": ended, "task": 0, "attempt": 1}


class PlatformFaultsTest(unittest.TestCase):
    # Guards against overlooking new work on a leaving host, and against
    # counting work that came within the bound or after its return.
    def test_counts_starts_after_the_grace_period_of_a_leaving_host(self):
        leaving = [("w", 1_000, 20_000)]
        for start, expected in ((900, 0), (6_000, 0), (6_001, 1), (20_000, 0)):
            audit = {"runs": [run("a", start, start + 1)]}
            self.assertEqual(starts_after_leaving(audit, leaving), expected)
        other = {"runs": [run("a", 9_000, 9_001, worker="v")]}
        self.assertEqual(starts_after_leaving(other, leaving), 0)

    # Guards against overlooking work on a worker that should be quarantined,
    # and against counting failures that a success interrupts.
    def test_counts_starts_on_workers_with_three_failed_jobs_in_a_row(self):
        failed = [run(j, 0, 100 + i, "failed") for i, j in enumerate("abc")]
        late = run("d", 5_000, 5_001)
        self.assertEqual(
            starts_in_quarantine({"runs": failed + [late]}, ["w"]), 1)
        probe = run("d", 61_000, 61_001)
        self.assertEqual(
            starts_in_quarantine({"runs": failed + [probe]}, ["w"]), 0)
        mixed = failed[:2] + [run("e", 0, 101), failed[2], late]
        self.assertIsNone(starts_in_quarantine({"runs": mixed}, ["w"]))
        same = [run("a", 0, 100 + i, "failed") for i in range(3)]
        self.assertIsNone(
            starts_in_quarantine({"runs": same + [late]}, ["w"]))

    # Guards against excusing a failure that no failing worker caused, or of a
    # job that was to run again elsewhere.
    def test_only_an_injected_failure_is_excused(self):
        runs = {"runs": [{**run("j", 0, 1, "failed")}]}
        def wrong_answers(failing, **job):
            seen = request("failed", tasks=1, **job)
            return check([seen], runs, failing).wrong_answer
        self.assertEqual(wrong_answers(["w"]), 0)
        self.assertEqual(wrong_answers(["v"]), 1)
        self.assertEqual(wrong_answers([]), 1)
        self.assertEqual(wrong_answers(["w"], idempotent=True), 1)

    # Guards against trimming records that no snapshot covers.
    def test_covered_offset_is_that_of_a_snapshot_or_zero(self):
        taken = {"k": "snapshot_taken", "b": {"id": "s", "covered": 7}}
        self.assertEqual(covered_offset([(9, taken), (10, {"k": "noop"})]), 7)
        self.assertEqual(covered_offset([(10, {"k": "noop"})]), 0)


if __name__ == "__main__":
    unittest.main()
