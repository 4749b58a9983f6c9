"""Case 6: the store gives no response to two machines for six seconds; meanwhile a third machine, which owns a batch job, is lost for good."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin2"))
from review_site import *  # noqa: E402,F403

COMPLETION_WINDOW_S = 18.0  # completion_window_s of the sheet.
REJECT_S = 6.0  # Length of the rejection; the sheet has 9 s.
CALM_S = 5.0
ITEMS = 10


async def main(site):
    record = site.record
    await site.open(3, config(100, [route("batch", "batch", "llm")], ["llm"]))
    for number in range(3):
        await site.add_replica("i-%d" % number, "llm", slots=8, events=60, step_s=0.05, zone="z%d" % (number + 1))
    await site.start_hosts()
    await asyncio.sleep(3.5)  # contact_ms after the start: all machines are in touch.
    readers, owner = [site.hosts[0], site.hosts[2]], site.hosts[1]
    body, ids = batch_body("7c41e09b52d6", "/batch/", ITEMS)
    answer = await call(owner.address, owner.front, "POST", "/batch/7c41e09b52d6", [(PREFIX + "Request-Id", "7c41e09b52d6")], body)
    record.write("batch job of %d items submitted to %s: %d %s" % (ITEMS, owner.name, answer.status, answer.error))
    if answer.status != 202:
        raise CannotRun("the batch job was not accepted")
    await asyncio.sleep(0.5)
    ended = now()  # No client sends anything but reads from here on.
    if site.trouble:
        site.store.silent.update(host.name for host in readers)
        record.write("the store gives no response to %s" % ", ".join(host.name for host in readers))
        await asyncio.sleep(0.5)
        owner.signal(signal.SIGKILL)  # Lost for good: it is not started again.
        await asyncio.sleep(REJECT_S - 0.5)
        site.store.silent.clear()
        record.write("the store serves all machines again")
    listed = {}
    while now() < ended + COMPLETION_WINDOW_S:
        for host in readers:
            page = await call(host.address, host.front, "GET", "/-/lots/7c41e09b52d6?after=0", timeout=3)
            results = page.json().get("results", []) if page.status == 200 else []
            fresh = [r["id"] for r in results if r["id"] not in listed]
            listed.update({r["id"]: r for r in results})
            if fresh or page.status != 200:
                record.write("read at %s: status %d, %d of %d items listed" % (host.name, page.status, len(results), ITEMS))
        await asyncio.sleep(0.5)
    over = now()
    unlisted = [i for i in ids if i not in listed]
    runs = [run for replica in site.replicas for run in replica.runs]
    had = [r for r in runs if r["id"] in unlisted and r.get("end", over) > over - CALM_S]
    finished = [r for r in runs if r["done"] and r["end"] > over - 3]
    record.write("completion_window_s is over: %d of %d items listed; in the last 5 s replicas had %d runs of unlisted items; %d items were finished in the "
                 "last 3 s" % (len(listed), ITEMS, len(had), len(finished)))
    for host in readers:
        ready = await call(host.address, host.ready_port, "GET", "/-/ready", timeout=1)
        record.write("%s: ready %d" % (host.name, ready.status))
    broken = []
    if unlisted and not had and not finished:
        broken.append("LOST: %d items are neither completed nor dead_letter when completion_window_s is over, and no replica had one" % len(unlisted))
    if site.trouble and unlisted:
        until = now() + 20
        while now() < until and len(listed) < ITEMS:  # For the record only.
            page = await call(readers[0].address, readers[0].front, "GET", "/-/lots/7c41e09b52d6?after=0", timeout=3)
            listed.update({r["id"]: r for r in page.json().get("results", [])})
            await asyncio.sleep(0.25)
        record.write("%d of %d items are listed %.1f s after the machine was lost" % (len(listed), ITEMS, now() - ended))
    return broken


run_case(main, FOLDER)
