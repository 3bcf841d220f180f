"""An instance crashes, starts again and is then stopped as planned: a home counts from the crash when the
runs must have ended, although it has let the second process go on with them since."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import site_2

INSTANCES = 6
TOOK_MS = 7_000
CPU = 4_000
# The platform starts a process again after a short delay.
RESTART_S = 0.3
STOP_AFTER_S = 1.55


def case(site):
    site.add_workers(18)
    site.put_config()
    crashing, home, *_ = [site.add_instance(f"front-{number}", 0.25) for number in range(1, INSTANCES + 1)]
    for instance in site.instances:
        instance.wait_until_ready()
    time.sleep(4)
    # A job that needs most of the room, so that all instances' workers run tasks of it.
    request = site_2.Request(
        site, home, "POST", f"{site.prefix}00000000c0ffee01", site_2.job(TOOK_MS, CPU, 60), 30_000
    )
    time.sleep(1)
    if site_2.TROUBLE:
        crashing.kill()
        time.sleep(RESTART_S)
        crashing.start()
    time.sleep(STOP_AFTER_S)
    # Planned work: the instance is stopped and started again.
    crashing.signal(signal.SIGTERM, "asked to stop (SIGTERM)")
    time.sleep(6)
    if crashing.process.poll() is None:
        crashing.kill()
    crashing.start()
    request.join(20)
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
