"""Runs online requests and a batch job on 7 hosts in 3 failure domains, kills one host meanwhile, and prints a JSON object as the last line."""

import argparse
import collections
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time

import fleet as fleetlib

ONLINE_REQUESTS = 300
BATCH_ITEMS = 2048
CLIENT_RETRIES = 2  # Default of common client libraries for model calls.
SEED = 7


class OnlineClient:
    """Sends online requests at a constant rate to randomly chosen live hosts, as a load balancer would."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = 0
        self.ok = 0
        self.resent = 0
        self.errors = []
        self.lock = threading.Lock()
        self.random = random.Random(SEED)

    def send_with_retries(self, number):
        """Sends one request, with retries, and records the outcome."""
        body = fleetlib.chat_body(self.fleet.model, f"Draft mask brief {number}.", number % 2 == 0)
        failure = None
        for attempt in range(CLIENT_RETRIES + 1):
            with self.lock:
                host = self.random.choice(self.fleet.live_hosts())
                self.resent += 1 if attempt else 0
            try:
                text = fleetlib.chat(host["http"], body)
                if not text:
                    raise RuntimeError("empty answer")
                with self.lock:
                    self.ok += 1
                return
            except (OSError, RuntimeError, ValueError, fleetlib.http.client.HTTPException) as error:
                failure = f"{host['id']}: {error!r}"
                time.sleep(0.2)
        with self.lock:
            self.errors.append(failure)

    def send_all(self, count, seconds):
        threads = []
        for number in range(count):
            thread = threading.Thread(target=self.send_with_retries, args=(number,))
            thread.start()
            threads.append(thread)
            self.sent += 1
            time.sleep(seconds / count)
        for thread in threads:
            thread.join()


def read_results(fleet, job):
    completed = fleet.run_ctl("job", "results", job)
    return [json.loads(line) for line in completed.stdout.splitlines() if line.strip()]


def start_fleet(fleet):
    """Starts all processes and creates the workspace. Returns the start time."""
    started = time.monotonic()
    print("starting stand-ins and hosts", flush=True)
    fleet.start_platform()
    fleet.start_targets()
    fleet.start_hosts()
    fleet.create_workspace()
    print(f"workspace is in force on all hosts after {time.monotonic() - started:.1f} s", flush=True)
    return started


def run_job(fleet, started):
    """Runs the job and the online requests, kills a host meanwhile, and returns the report."""
    path = os.path.join(fleet.folder, "job.jsonl")
    with open(path, "w", encoding="utf-8") as file:
        file.write(fleetlib.job_lines(fleet.model, BATCH_ITEMS))
    job = json.loads(fleet.run_ctl("job", "submit", f"--file={path}", "--key=evening-catalogue", "--due=3600", "--json").stdout)["id"]
    client = OnlineClient(fleet)
    online = threading.Thread(target=client.send_all, args=(ONLINE_REQUESTS, 8.0))
    online.start()
    time.sleep(3.0)
    killed_host = fleet.hosts[3]["id"]
    print(f"killing {killed_host}", flush=True)
    fleet.kill(killed_host)
    online.join()
    fleet.run_ctl("job", "watch", job, "--timeout=45s", check=False)
    results = read_results(fleet, job)
    counts = collections.Counter(line["custom_id"] for line in results)
    for error in client.errors[:5]:
        print("online error:", error)
    print(f"online requests resent by the client after the host was killed: {client.resent}")
    return {
        "hosts": len(fleet.hosts),
        "failure_domains": len(fleetlib.DOMAINS),
        "online_sent": client.sent,
        "online_ok": client.ok,
        "batch_accepted": BATCH_ITEMS,
        "batch_finished": sum(1 for line in results if line["status"] == "ok"),
        "batch_failed": sum(1 for line in results if line["status"] == "failed"),
        "duplicates": sum(n - 1 for n in counts.values()),
        "seconds": round(time.monotonic() - started, 1),
    }


def report_passes(report):
    return (
        report["online_ok"] == report["online_sent"]
        and report["batch_finished"] + report["batch_failed"] == report["batch_accepted"]
        and report["duplicates"] == 0
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="keep the fleet running until interrupted, without a job")
    parser.add_argument("--build", required=True, help="folder of the built programs")
    parser.add_argument("--folder", help="folder for settings, logs and data; by default a temporary one")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="skylark-demo-") as temporary:
        folder = options.folder or temporary
        os.makedirs(folder, exist_ok=True)
        fleet = fleetlib.Fleet(options.build, folder)
        try:
            started = start_fleet(fleet)
            if options.keep:
                signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
                connection_info = {"base_url": f"http://{fleetlib.ADDRESS}:{fleet.hosts[0]['http']}/v1", "api_key": fleetlib.API_KEY, "model": fleet.model, "admin": [f"{fleetlib.ADDRESS}:{h['admin']}" for h in fleet.hosts]}
                print(json.dumps(connection_info), flush=True)
                try:
                    while True:
                        time.sleep(1)
                except KeyboardInterrupt:
                    return 0
            report = run_job(fleet, started)
            print(json.dumps(report), flush=True)
            return 0 if report_passes(report) else 1
        finally:
            fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
