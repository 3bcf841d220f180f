"""A worker crashes and starts again under its id as another kind: tasks that need the former kind start on it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import run_case  # noqa: E402

# How long the worker is down: the pages' crashes last up to 4.5 s, and its entry stays for 4.5 s.
DOWN_S = 1.5
UP_S = 3.0
CRASHES = 16
JOBS_PER_S = 25


async def case(site, has_trouble):
    zones = ["hki-keskus", "tre-itainen"]
    workers = [(f"i-{n:02d}", zones[n % 2], ["b" if n == 0 else "a", f"r1-{n // 8}"]) for n in range(8)]
    await site.start([(f"front-{zone}-1", zone) for zone in zones], workers, [("pussi", 1, 1500)])
    names = list(site.instances)
    required = {}
    tasks = []
    is_over = asyncio.Event()

    async def job(number):
        kind = "b" if number % 2 else "a"
        required[f"{number:016x}"] = kind
        step = {"Count": 1, "Cpu": 2000, "MemMb": 64, "EstimateMs": 60, "Requires": kind}
        await site.submit(
            names[number // 2 % 2], "pussi", f"{number:016x}", {"work_ms": 60, "cpu": 2000}, [step]
        )

    async def traffic():
        number = 0
        while not is_over.is_set():
            number += 1
            tasks.append(asyncio.ensure_future(job(number)))
            await asyncio.sleep(0.5 / JOBS_PER_S)

    sender = asyncio.ensure_future(traffic())
    kind = "b"
    for _ in range(CRASHES):
        await asyncio.sleep(UP_S)
        if not has_trouble:
            await asyncio.sleep(DOWN_S)
            continue
        settings = site.workers["i-00"]["settings"]
        kind = "a" if kind == "b" else "b"
        await site.kill_worker("i-00")
        await asyncio.sleep(DOWN_S)
        await site.start_worker("i-00", settings["zone"], [kind, "r1-0"], settings["port"])
    await asyncio.sleep(UP_S)
    is_over.set()
    await sender
    await asyncio.gather(*tasks)
    broken = []
    for start in site.of_task("start"):
        kind = required[start["task"].split(".")[0]]
        if kind not in start["labels"]:
            broken.append(
                f"task {start['task']} requires the label {kind}; it started at {start['t'] - site.began:.3f} s on "
                f"{start['who']} with the labels {','.join(start['labels'])}"
            )
    return broken


run_case(FOLDER, case)
