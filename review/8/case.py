"""Case 8: a batch job has an item whose prompt consists of many parts, so that one header of the item is longer than 65,535 bytes."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin2"))
from review_site import *  # noqa: E402,F403

COMPLETION_WINDOW_S = 18.0  # completion_window_s of the sheet.
CALM_S = 5.0
BLOCK = 16  # Tokens of a part.
PARTS = 6300  # 6,300 parts of 16 tokens and 200 tokens of output fit into kv_capacity_tokens (101,495).
JOB = "7c41e09b52d6"


async def main(site):
    record = site.record
    await site.open(2, config(100, [route("batch", "batch", "llm")], ["llm"]))
    for number in range(2):
        await site.add_replica("i-%d" % number, "llm", slots=8, events=20, step_s=0.02, zone="z%d" % (number + 1))
    await site.start_hosts()
    await asyncio.sleep(3.5)
    body, ids = batch_body(JOB, "/batch/", 6)
    document = json.loads(body)
    headers = document["items"][2]["headers"]
    parts = PARTS if site.trouble else 3
    headers[PREFIX + "Prompt-Prefix"] = ",".join("%08x:%d" % (0x5c1e0000 + number, BLOCK) for number in range(parts))
    headers[PREFIX + "Token-Usage"] = "%d,200" % (parts * BLOCK)
    document["items"][2]["tokens"] = parts * BLOCK + 200
    body = json.dumps(document).encode()
    host = site.hosts[0]
    answer = await call(host.address, host.front, "POST", "/batch/" + JOB, [(PREFIX + "Request-Id", JOB)], body)
    record.write("batch job of %d items and %d bytes submitted to %s: %d %s; item %s has a header of %d bytes" % (
        len(ids), len(body), host.name, answer.status, answer.error, ids[2], len(headers[PREFIX + "Prompt-Prefix"])))
    if answer.status != 202:
        record.write("the batch job is not accepted, so that nothing is owed")
        return []
    ended = now()  # No client sends anything but reads from here on.
    listed = {}
    while now() < ended + COMPLETION_WINDOW_S:
        for reader in site.hosts:
            page = await call(reader.address, reader.front, "GET", "/-/lots/%s?after=0" % JOB, timeout=3)
            fresh = [r for r in page.json().get("results", []) if r["id"] not in listed]
            listed.update({r["id"]: r for r in fresh})
            for result in fresh:
                record.write("read at %s: item %s is %s" % (reader.name, result["id"], result["state"]))
        await asyncio.sleep(0.5)
    over = now()
    runs = [run for replica in site.replicas for run in replica.runs]
    unlisted = [i for i in ids if i not in listed]
    had = [r for r in runs if r["id"] in unlisted and r.get("end", over) > over - CALM_S]
    finished = [r for r in runs if r["done"] and r["end"] > over - 3]
    record.write("completion_window_s is over: %d of %d items listed; unlisted: %s; replicas have had these %d times" % (
        len(listed), len(ids), ", ".join(unlisted) or "none", len([r for r in runs if r["id"] in unlisted])))
    for line in [entry for entry in host.log_lines(ids[2])][:5]:
        record.write("log of %s: %s" % (host.name, line[:200]))
    if unlisted and not had and not finished:
        return ["LOST: %d item of an accepted batch job is neither completed nor dead_letter when completion_window_s is over, and no replica had it" % len(unlisted)]
    return []


run_case(main, FOLDER)
