"""A new manifest lets a queue's tasks fail as often as they like."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
from deployment import play  # noqa: E402
from workers import Job  # noqa: E402

VISIBLE_S, CONFIG_APPLY_S, FINISH_S, JOBS = 3, 2, 14, 12
MANY = 2_147_483_647


def job(number):
    return Job(f"{0x7e00000000000000 + number:016x}",
               [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000}],
               1)


async def scenario(deployment, trouble):
    record = deployment.record
    deployment.publish({"render": {"max_attempts": 3}})
    await deployment.start(
        [("a", f"r{n // 2}", {"cpu": 64000, "mem_mb": 262144, "gpu": 8})
         for n in range(6)])
    first = job(0)
    if not await deployment.submit("render", first):
        raise RuntimeError("the first job was not accepted")
    deployment.publish({"render": {"max_attempts": MANY if trouble else 5}})
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    jobs = [job(number) for number in range(1, JOBS + 1)]
    for one in jobs:
        await deployment.submit("render", one)
    accepted = [one for one in jobs if one.accepted_at]
    record(f"{len(accepted)} of {JOBS} jobs accepted under the new manifest")
    await asyncio.sleep(VISIBLE_S + 1)
    gone = 0
    for one in accepted:
        answers = [(await deployment.ask("render", one, daemon))[0]
                   for daemon in deployment.daemons]
        record(f"GET {one.id} at each daemon, {VISIBLE_S} s or more after its "
               f"ack: {answers}")
        gone += 410 in answers
    await asyncio.sleep(FINISH_S)
    started = {task.split(".")[0] for _, _, task, _ in deployment.world.starts}
    unstarted = sum(1 for one in accepted if one.id not in started)
    state = (await deployment.ask("render", first))[1]
    record(f"the job from before the new manifest is shown as {state}")
    text = (f"{len(accepted)} of {JOBS} jobs accepted under the new manifest; "
            f"{gone} answered with 410 more than {VISIBLE_S} s after their "
            f"ack, {unstarted} never started")
    if not accepted and trouble:
        # A refusal is true, and breaks no rule here.
        return True, text
    return not gone and not unstarted and bool(accepted), text


sys.exit(play(HERE, scenario))
