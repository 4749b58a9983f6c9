"""Case 7: the store gives no response to one machine for a few seconds; later, when that machine is in touch again, a replica drains."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin2"))
from review_site import *  # noqa: E402,F403

CONTACT_S = 3.0  # contact_ms
DRAIN_S = 2.0  # drain_ms
LONGER_S = 0.6  # The replica serves on for so long after drain_ms ("and a little longer"), then it leaves and cuts what it has.
STALE_S = 3.0  # Age of stale reads: "may be seconds old".
REJECT_S = 4.5  # Length of the rejection; the sheet has 9 s.


async def main(site):
    record = site.record
    await site.open(3, config(100, [route("order", "unsafe", "shop")], ["shop"]))
    site.store.stale_s = STALE_S
    for number in range(3):
        await site.add_replica("s-%d" % number, "shop", slots=6, work_s=0.25, zone="z%d" % (number + 1))
    await site.start_hosts()
    await asyncio.sleep(CONTACT_S + 0.5)
    host = site.hosts[0]
    if site.trouble:
        site.store.silent.add(host.name)
        record.write("the store gives no response to %s" % host.name)
    await asyncio.sleep(REJECT_S)
    site.store.silent.clear()
    record.write("the store serves all machines")
    await asyncio.sleep(CONTACT_S + 0.5)  # From here on the machine is in touch.
    ready = await call(host.address, host.ready_port, "GET", "/-/ready", timeout=1)
    record.write("%s: ready %d" % (host.name, ready.status))
    replica = site.replicas[0]
    outcomes = {}

    async def send(number):
        ident = "%016x" % (0xabc0000000000000 + number)
        answer = await call(host.address, host.front, "POST", "/order/%d" % number, [(PREFIX + "Request-Id", ident), (PREFIX + "Deadline-Ms", "4000")],
                            b"order", timeout=6)
        outcomes[ident] = answer

    async def load():
        number = 0
        while not stop.is_set():
            site.tasks.append(asyncio.ensure_future(send(number)))
            number += 1
            await asyncio.sleep(0.04)

    stop = asyncio.Event()
    loading = asyncio.ensure_future(load())
    await asyncio.sleep(1.0)
    await replica.drain()
    confirmed = now()
    await asyncio.sleep(DRAIN_S + LONGER_S)
    await replica.leave()
    await asyncio.sleep(1.0)
    stop.set()
    await loading
    await asyncio.sleep(5.0)
    late = [run for run in replica.runs if run["at"] > confirmed + DRAIN_S]
    for run in late:
        answer = outcomes.get(run["id"], Answer(error="none"))
        record.write("%s runs request %s %.3f s after its draining was confirmed; the client got %d %s" % (
            replica.id, run["id"], run["at"] - confirmed, answer.status, answer.error))
    lost = [run for run in late if not run["done"]]
    record.write("%d requests sent; %d reached the replica before, %d later than drain_ms after the confirmation; of these %d were cut when it left" % (
        len(outcomes), len(replica.runs) - len(late), len(late), len(lost)))
    if late:
        return ["DRAIN: %d requests reached %s later than drain_ms after the store had confirmed that it is draining, up to %.1f s after; %d of them were lost" % (
            len(late), replica.id, max(run["at"] for run in late) - confirmed, len(lost))]
    return []


run_case(main, FOLDER)
