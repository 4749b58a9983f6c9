"""Measures what each host process and the key-value stand-in carry, idle and under a job, at several numbers of targets."""

import argparse
import concurrent.futures
import http.client
import json
import os
import re
import tempfile
import time
import urllib.request

import fleet as fleet_module
from fleet import ADDRESS, API_KEY, MODEL, Fleet, call_json, job_lines

TICKS = os.sysconf("SC_CLK_TCK")
STATUS_LINE = re.compile(r'^skylark_status_(datagrams|bytes)\{direction="(sent|received)"\} (\S+)$', re.MULTILINE)


def process_usage(pid):
    """Returns the CPU seconds and the resident KiB of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS:"))
    return (int(fields[11]) + int(fields[12])) / TICKS, resident


def status_counts(port):
    """Returns the counters of status datagrams of one host."""
    with urllib.request.urlopen(f"http://{ADDRESS}:{port}/metrics", timeout=5) as response:
        text = response.read().decode()
    return {f"{kind}_{direction}": float(value) for kind, direction, value in STATUS_LINE.findall(text)}


def observe(fleet):
    hosts = {h["id"]: (process_usage(fleet.processes[h["id"]].pid), status_counts(h["admin"])) for h in fleet.hosts}
    return {"at": time.monotonic(), "hosts": hosts, "platform": call_json("GET", fleet.platform_port, "/stats")[1]}


def platform_rates(before, after, seconds):
    rates = {key: round((after[key] - before[key]) / seconds, 3) for key in ("reads", "writes", "watches")}
    for key in ("reads_by_prefix", "writes_by_prefix"):
        rates[key] = {prefix: round((count - before[key].get(prefix, 0)) / seconds, 3) for prefix, count in after[key].items()}
    rates["waiting_watches"] = after["watching"]
    return rates


def rates_between(before, after):
    """Returns rates a second for each host and for the key-value service."""
    seconds = after["at"] - before["at"]
    hosts = {}
    for name, ((cpu, resident), counts) in after["hosts"].items():
        (cpu_before, _), counts_before = before["hosts"][name]
        hosts[name] = {"cpu_percent": round(100 * (cpu - cpu_before) / seconds, 3), "resident_kib": resident}
        hosts[name].update({key + "_per_s": round((value - counts_before[key]) / seconds, 2) for key, value in counts.items()})
    return {"seconds": round(seconds, 2), "hosts": hosts, "platform": platform_rates(before["platform"], after["platform"], seconds)}


def measure(fleet, seconds):
    before = observe(fleet)
    time.sleep(seconds)
    return rates_between(before, observe(fleet))


def submit_job(fleet, key, items):
    """Submits a job and returns its id."""
    connection = http.client.HTTPConnection(ADDRESS, fleet.hosts[0]["http"], timeout=30)
    try:
        connection.request("POST", "/v1/jobs", job_lines(MODEL, items, 16), {"Authorization": "Bearer " + API_KEY, "x-job-key": key, "x-due": "3600"})
        response = connection.getresponse()
        answer = json.loads(response.read())
    finally:
        connection.close()
    if response.status >= 300:
        raise RuntimeError(f"job was refused: {response.status} {answer}")
    return answer["id"]


def job_state(fleet, job):
    return call_json("GET", fleet.hosts[1]["http"], f"/v1/jobs/{job}", headers={"Authorization": "Bearer " + API_KEY})[1]


def run_job(fleet, items, seconds, longest):
    """Runs one job. The writes of the job are those below job/ and group/; lease renewals go on without it."""
    before = call_json("GET", fleet.platform_port, "/stats")[1]
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        rates = pool.submit(measure, fleet, seconds)
        job = submit_job(fleet, "capacity", items)
        while (state := job_state(fleet, job)).get("state") == "active" and time.monotonic() - started < longest:
            time.sleep(0.2)
        took = time.monotonic() - started
        after = call_json("GET", fleet.platform_port, "/stats")[1]
        result = rates.result()
    names = ("job", "group")
    writes = {name: sum(count - before["writes_by_prefix"].get(prefix, 0) for prefix, count in after["writes_by_prefix"].items() if prefix.strip("/") == name) for name in names}
    reads = {name: sum(count - before["reads_by_prefix"].get(prefix, 0) for prefix, count in after["reads_by_prefix"].items() if prefix.strip("/") == name) for name in names}
    return {"rates": result, "items": items, "state": state.get("state"), "job_seconds": round(took, 2), "writes": writes, "reads": reads, "writes_per_item": round(sum(writes.values()) / items, 5)}


def measure_size(options, engines):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(options.build, folder, engines_per_domain=engines, engine_flags=["--time_scale=10"])
        try:
            fleet.start_platform()
            fleet.start_targets()
            fleet.start_hosts()
            fleet.make_workspace()
            time.sleep(3)
            size = {"engines_per_domain": engines, "idle": measure(fleet, options.seconds)}
            if not options.skip_job:
                size["job"] = run_job(fleet, options.items, options.seconds, 40)
            return size
        finally:
            fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--engines", default="1,2,4")
    parser.add_argument("--items", type=int, default=2048)
    parser.add_argument("--skip-job", action="store_true")
    options = parser.parse_args()
    sizes = [measure_size(options, int(count)) for count in options.engines.split(",")]
    print(json.dumps({"domains": len(fleet_module.DOMAINS), "hosts": len(fleet_module.HOST_DOMAINS), "sizes": sizes}))


if __name__ == "__main__":
    main()
