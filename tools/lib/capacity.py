"""Measures the load on each host process and on the key-value stand-in, idle and during a job, at several numbers of targets."""

import argparse
import concurrent.futures
import http.client
import json
import os
import re
import tempfile
import time
import urllib.request

import fleet as fleetlib
from fleet import ADDRESS, API_KEY, MODEL, Fleet, call_json, job_lines

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STATUS_LINE = re.compile(r'^skylark_status_(datagrams|bytes)\{direction="(sent|received)"\} (\S+)$', re.MULTILINE)


def process_usage(pid):
    """Returns the CPU time in seconds and the resident memory in KiB of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS:"))
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, resident


def status_counts(port):
    """Returns the counters of status datagrams and their bytes from the metrics of one host."""
    with urllib.request.urlopen(f"http://{ADDRESS}:{port}/metrics", timeout=5) as response:
        text = response.read().decode()
    return {f"{kind}_{direction}": float(value) for kind, direction, value in STATUS_LINE.findall(text)}


def sample_fleet(fleet):
    """Returns the usage of all hosts and the counters of the platform stand-in, with the time of the sample."""
    hosts = {h["id"]: (process_usage(fleet.processes[h["id"]].pid), status_counts(h["admin"])) for h in fleet.hosts}
    return {"at": time.monotonic(), "hosts": hosts, "platform": call_json("GET", fleet.platform_port, "/stats")[1]}


def platform_rates(before, after, seconds):
    rates = {key: round((after[key] - before[key]) / seconds, 3) for key in ("reads", "writes", "watches")}
    for key in ("reads_by_prefix", "writes_by_prefix"):
        rates[key] = {prefix: round((count - before[key].get(prefix, 0)) / seconds, 3) for prefix, count in after[key].items()}
    rates["waiting_watches"] = after["watching"]
    return rates


def rates_between(before, after):
    """Returns the rates per second between two samples, for each host and for the key-value service."""
    seconds = after["at"] - before["at"]
    hosts = {}
    for name, ((cpu, resident), counts) in after["hosts"].items():
        (cpu_before, _), counts_before = before["hosts"][name]
        hosts[name] = {"cpu_percent": round(100 * (cpu - cpu_before) / seconds, 3), "resident_kib": resident}
        hosts[name].update({key + "_per_s": round((value - counts_before[key]) / seconds, 2) for key, value in counts.items()})
    return {"seconds": round(seconds, 2), "hosts": hosts, "platform": platform_rates(before["platform"], after["platform"], seconds)}


def measure_rates(fleet, seconds):
    before = sample_fleet(fleet)
    time.sleep(seconds)
    return rates_between(before, sample_fleet(fleet))


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
        raise RuntimeError(f"job submission was refused with status {response.status}: {answer}")
    return answer["id"]


def job_state(fleet, job):
    return call_json("GET", fleet.hosts[1]["http"], f"/v1/jobs/{job}", headers={"Authorization": "Bearer " + API_KEY})[1]


def run_job(fleet, items, seconds, timeout_s):
    """Runs one job and counts its reads and writes: only keys below job/ and group/, because lease renewals also happen without a job."""
    before = call_json("GET", fleet.platform_port, "/stats")[1]
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        rates = pool.submit(measure_rates, fleet, seconds)
        job = submit_job(fleet, "capacity", items)
        while (state := job_state(fleet, job)).get("state") == "active" and time.monotonic() - started < timeout_s:
            time.sleep(0.2)
        elapsed_s = time.monotonic() - started
        after = call_json("GET", fleet.platform_port, "/stats")[1]
        result = rates.result()
    prefixes = ("job", "group")
    writes = {name: sum(count - before["writes_by_prefix"].get(prefix, 0) for prefix, count in after["writes_by_prefix"].items() if prefix.strip("/") == name) for name in prefixes}
    reads = {name: sum(count - before["reads_by_prefix"].get(prefix, 0) for prefix, count in after["reads_by_prefix"].items() if prefix.strip("/") == name) for name in prefixes}
    return {"rates": result, "items": items, "state": state.get("state"), "job_seconds": round(elapsed_s, 2), "writes": writes, "reads": reads, "writes_per_item": round(sum(writes.values()) / items, 5)}


def measure_size(options, engines):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(options.build, folder, engines_per_domain=engines, engine_flags=["--time_scale=10"])
        try:
            fleet.start_platform()
            fleet.start_targets()
            fleet.start_hosts()
            fleet.create_workspace()
            time.sleep(3)
            size = {"engines_per_domain": engines, "idle": measure_rates(fleet, options.seconds)}
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
    print(json.dumps({"domains": len(fleetlib.DOMAINS), "hosts": len(fleetlib.HOST_DOMAINS), "sizes": sizes}))


if __name__ == "__main__":
    main()
