"""A process is killed while the workers leave three of ten orders unanswered and carry them out late."""
import os
import sys
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import site_3
from site_3 import *

LATE_SHARE = 0.3        # `fleetbench kinds`: "applied_late: a share x (.5) of the orders to servers [...]"
LATE_S = 5.5            # the site file: for_s = 5.5
RESTART_S = 0.5         # "a process that exits or is killed is restarted after a short delay"
RESEND_MS = 1300


class LateWorker(Worker):
    """While `late` is set, leaves a share of its starts and stops unanswered and carries them out 2 to 12 s later.

    That is `how = "orders"` of `applied_late`; holds, which grant leases, are answered as always.
    """
    late = 0.0

    async def handle(self, method, target, headers, body):
        if target != "/v1/hold" and random.random() < self.late:
            asyncio.create_task(self.carry_out(method, target, headers, body, random.uniform(2, 12)))
            self.late_orders = getattr(self, "late_orders", 0) + 1
            await asyncio.sleep(30)
            return None
        return await super().handle(method, target, headers, body)

    async def carry_out(self, method, target, headers, body, delay_s):
        await asyncio.sleep(delay_s)
        await super().handle(method, target, headers, body)


site_3.Worker = LateWorker


def overlaps(record):
    """Pairs of runs of one task that ran at the same time, by what the workers saw."""
    spans, open_at = {}, {}
    for line in record.lines:
        key = (line.get("worker"), line.get("task"), line.get("run"))
        if line["what"] == "start":
            open_at[key] = line["at_ms"]
        elif line["what"] == "end":
            spans.setdefault(line["task"], []).append((open_at.pop(key), line["at_ms"], key))
    for key, begun in open_at.items():
        spans.setdefault(key[1], []).append((begun, record.now_ms(), key))
    for task, runs in spans.items():
        runs.sort()
        for one, other in zip(runs, runs[1:]):
            if other[0] < one[1]:
                yield task, one, other


async def case(site, trouble):
    await site.start(workers=10)
    for worker in site.workers.values():
        worker.labels = ["a", "r1-1", f"only-{worker.name}"]
        await worker.list_entry()
    entries = [await site.add_entry(f"e{i}") for i in range(4)]
    await asyncio.sleep(3)
    killed, home, other, _ = entries
    posts = []
    # One task of another machine's client on each worker.
    for worker in site.workers.values():
        body = job_body([14000], count=1, cpu=1000, Requires=f"only-{worker.name}")
        posts.append(asyncio.create_task(submit(site, home, new_id(), body, 40000)))
    await asyncio.sleep(1)

    async def client(job, body):
        """Hands the job in and, after a broken connection, 502 or 504, once more `ResendMs` later."""
        status, _ = await submit(site, killed, job, body, 15000)
        if status in (None, 502, 504):
            await asyncio.sleep(RESEND_MS / 1000)
            await submit(site, other, job, body, 15000, note="sent again")

    for _ in range(14):
        posts.append(asyncio.create_task(client(new_id(), job_body([6000], count=32, cpu=150))))
    await asyncio.sleep(1)
    if trouble:
        site.record.note("workers", late_share=LATE_SHARE, for_s=LATE_S)
        for worker in site.workers.values():
            worker.late = LATE_SHARE
        until = time.monotonic() + LATE_S
        await asyncio.sleep(0.3)
        killed.signal(signal.SIGKILL, "killed")
        await killed.process.wait()
        await asyncio.sleep(RESTART_S)
        await killed.start()
        await asyncio.sleep(max(0, until - time.monotonic()))
        for worker in site.workers.values():
            worker.late = 0.0
            site.record.note("workers", worker=worker.name, late_orders=getattr(worker, "late_orders", 0))
    await asyncio.wait(posts, timeout=14)
    return [f"TWICE: {task} ran on {one[2][0]} (run {one[2][2]}) from {one[0]} to {one[1]:.1f} ms and on {two[2][0]} "
            f"(run {two[2][2]}) from {two[0]} ms" for task, one, two in overlaps(site.record)]


run_case(os.path.dirname(os.path.abspath(__file__)), case)
