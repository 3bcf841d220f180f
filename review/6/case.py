"""A machine dies just before a run ends; the job runs again at another instance, where the first run's end
counts for the second run, which nobody stops any more."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import site_2

CPU = 4_000
RESEND_S = 1.3
# The job's two tasks; the second one needs a worker of kind "b".
TIMES_MS = [8_000, 20_000]
DARK_S = 3.5


def job():
    step = lambda number, **more: {"Count": 1, "Cpu": CPU, "MemMb": 64, "EstimateMs": TIMES_MS[number]} | more
    return {
        "Spec": f"{','.join(map(str, TIMES_MS))} {CPU}", "BestEffort": True,
        "Steps": [step(0), step(1, Requires="b")],
    }


def case(site):
    # Only the third instance owns a worker of kind "b": who owns which follows from the names alone.
    site.add_workers(12, kinds={"w-01": "b"})
    site.put_config()
    dying, second, third, fourth = [site.add_instance(f"front-{number}", 0.25) for number in range(1, 5)]
    for instance in site.instances:
        instance.wait_until_ready()
    time.sleep(4)
    path = f"{site.prefix}00000000c0ffee01"
    request = site_2.Request(site, dying, "POST", path, job(), 60_000)
    # Two other clients, who stay: one of three leaves.
    for number, instance in enumerate([third, fourth]):
        site_2.Request(
            site, instance, "POST", f"{site.prefix}{0xBEEF00 + number:016x}", site_2.job(60_000, 1_000), 90_000
        )
    if site_2.TROUBLE:
        time.sleep(7.4)
        # The machine loses power for some seconds.
        dying.kill()
        died_at = time.monotonic()
        time.sleep(RESEND_S)
        if request.ended_at is None:
            raise site_2.Unfit("the client's connection did not break")
        # The client comes again ResendMs after its connection broke.
        request = site_2.Request(site, second, "POST", path, job(), 60_000)
        time.sleep(max(0, died_at + DARK_S - time.monotonic()))
        dying.start()
    time.sleep(1)
    # It leaves before its time limit, and comes again ResendMs later.
    request.leave()
    time.sleep(RESEND_S)
    request = site_2.Request(site, third, "POST", path, job(), 60_000)
    request.join(8 if site_2.TROUBLE else 50)
    site.record.say(f"answer: {request.status}")
    if not site_2.TROUBLE and request.status != 200:
        raise site_2.Unfit("the job was not served")
    overlaps = site.overlaps()
    for first, second in overlaps:
        site.record.say(
            f"TWICE: {first[1]} #{first[2]} on {first[0]} from {first[3]:.3f} to {first[4]:.3f} s ({first[5]}), "
            f"#{second[2]} on {second[0]} from {second[3]:.3f} s"
        )
    return 1 if overlaps else 0


site_2.play(__file__, case)
