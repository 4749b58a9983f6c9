"""Runs the real processes with random traffic under random faults; checks the promises from outside and counts each check."""

import argparse
import collections
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

import fleet as fleetlib
import relay as relaylib

LEASE_TTL_MS = 3000  # Shorter than in production so that leases expire within a run.
LAME_DUCK_MS = 1500
CONFIG_IN_FORCE_S = 5.0  # Promise P9: a configuration edit is in force on all hosts within this time.
LEAVING_S = 3.0  # Promise P7: a target gets no new requests after it has been draining for this time.
CANCEL_S = 10.0  # The lease of a partitioned host expires within this time.
SILENT_S = 12.0  # First-byte timeout plus retries on other targets.

DECISION_TESTS = ("test_claim", "test_revision", "test_membership", "test_lease", "test_routing", "test_retry", "test_once", "test_batch_limit", "test_items", "test_placement")


class Report:
    """Thread-safe counts of checks, faults, events and violations."""

    def __init__(self):
        self.lock = threading.Lock()
        self.checked = collections.Counter()
        self.faults = collections.Counter()
        self.events = 0
        self.violations = []

    def count_event(self):
        with self.lock:
            self.events += 1

    def record_fault(self, name):
        with self.lock:
            self.faults[name] += 1
        print(f"  fault: {name}", flush=True)

    def check(self, promise, passed, detail):
        """Counts a check of a promise and records a violation when it did not pass."""
        with self.lock:
            self.checked[promise] += 1
            if not passed:
                self.violations.append(f"{promise}: {detail}")
        if not passed:
            print(f"  VIOLATION {promise}: {detail}", flush=True)


class RelayedFleet(fleetlib.Fleet):
    """A fleet whose connections between failure domains and to the platform pass through relays."""

    def __init__(self, build, folder, relay):
        settings = {"lease_ttl_ms": LEASE_TTL_MS, "lease_renew_ms": 800, "lease_margin_ms": 600, "lame_duck_ms": LAME_DUCK_MS, "status_interval_ms": 200, "status_per_host_ms": 20, "load_poll_interval_ms": 200, "host_list_interval_ms": 500}
        super().__init__(build, folder, engines_per_domain=2, services_per_domain=1, slots=6, engine_flags=("--step_base_ms=8",), settings=settings)
        self.relay = relay
        self.links = collections.defaultdict(relaylib.Link)  # By (failure domain, other failure domain or "platform").
        self.ports = {}  # Relay ports by (host, other host, address key) or (host, "platform").

    def host_settings(self, host):
        settings = super().host_settings(host)
        for other in settings["hosts"]:
            info = next(h for h in self.hosts if h["id"] == other["id"])
            if info["domain"] == host["domain"]:
                continue
            link = self.links[(host["domain"], info["domain"])]
            for key in ("http", "peer_rpc", "status"):
                name = (host["id"], other["id"], key)
                if name not in self.ports:
                    start = self.relay.relay_udp if key == "status" else self.relay.relay_tcp
                    self.ports[name] = start(info[key], link)
                other[key] = f"{fleetlib.ADDRESS}:{self.ports[name]}"
        name = (host["id"], "platform")
        if name not in self.ports:
            self.ports[name] = self.relay.relay_tcp(self.platform_port, self.links[(host["domain"], "platform")])
        settings["platform"] = f"{fleetlib.ADDRESS}:{self.ports[name]}"
        return settings

    def cut_domain(self, domain, value, one_way=False):
        """Cuts a failure domain off from the others and from the platform, or reconnects it. A one-way cut blocks only data from the domain."""
        for other in (*fleetlib.DOMAINS, "platform"):
            if other == domain:
                continue
            outbound = self.links[(domain, other)]
            outbound.cut_forward = value
            outbound.cut_backward = value and not one_way
            inbound = self.links[(other, domain)]
            inbound.cut_forward = value and not one_way
            inbound.cut_backward = value


def send_request(port, method, path, body=None, headers=None, timeout=20):
    """Sends one HTTP request and returns (status, headers by lower-case name, text)."""
    connection = http.client.HTTPConnection(fleetlib.ADDRESS, port, timeout=timeout)
    try:
        connection.request(method, path, body, {"Authorization": "Bearer " + fleetlib.API_KEY, "Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        return response.status, dict((k.lower(), v) for k, v in response.getheaders()), response.read().decode()
    finally:
        connection.close()


NETWORK_ERRORS = (OSError, http.client.HTTPException, ValueError, KeyError, RuntimeError)


class Run:
    """One run with random traffic and faults on one fleet."""

    def __init__(self, fleet, report, rng):
        self.fleet = fleet
        self.report = report
        self.random = rng
        self.stopping = threading.Event()
        self.threads = []
        self.answered_prompts = {}
        self.orders = {}
        self.jobs = {}
        self.cancelled = {}
        self.cancel_unanswered = set()  # Keys of jobs whose cancel may have taken effect although its response was lost.
        self.stopping_hosts = set()
        self.paused_hosts = set()
        self.ready = {}
        self.revisions = collections.defaultdict(int)
        self.connectivity_lost = False  # While a failure domain is cut off or the platform is down.

    # Traffic.

    def pick_host(self):
        """Returns a host that a load balancer would use."""
        candidates = [h for h in self.fleet.live_hosts() if self.ready.get(h["id"]) and h["id"] not in self.paused_hosts]
        return self.random.choice(candidates or self.fleet.live_hosts())

    def balancer_loop(self):
        """Polls the readiness of all hosts, as a load balancer does."""
        while not self.stopping.is_set():
            for host in list(self.fleet.live_hosts()):
                try:
                    status, _, _ = send_request(host["admin"], "GET", "/readyz", timeout=0.5)
                    self.ready[host["id"]] = status == 200
                except NETWORK_ERRORS:
                    self.ready[host["id"]] = False
            time.sleep(0.2)

    def online_loop(self, client):
        number = 0
        while not self.stopping.is_set():
            number += 1
            prompt = f"client {client} brief {number} " + "x" * self.random.randrange(60)
            body = fleetlib.chat_body(self.fleet.model, prompt, number % 2 == 0, self.random.choice((4, 16, 40)))
            host = self.pick_host()
            begin = time.monotonic()
            try:
                text = fleetlib.chat(host["http"], body, timeout=25)
                self.answered_prompts[prompt] = (body, text)
            except NETWORK_ERRORS as error:
                # A killed or paused host breaks off the requests of its callers; a planned stop must not.
                if host["id"] in self.stopping_hosts and not self.is_disturbed(host) and "status" not in str(error):
                    self.report.check("graceful_stop", False, f"{host['id']} broke off a request during a planned stop: {error!r}")
            if host["id"] in self.stopping_hosts:
                self.report.check("graceful_stop", True, "")
            if not self.is_disturbed(host):
                self.report.check("silent_connection", time.monotonic() - begin < SILENT_S, f"request took {time.monotonic() - begin:.1f} s on {host['id']}")
            self.report.count_event()
            time.sleep(0.02)

    def is_disturbed(self, host):
        """Returns whether the host is killed or paused, so that requests on it may fail."""
        process = self.fleet.processes[host["id"]]
        return host["id"] in self.paused_hosts or (process.poll() is not None and process.returncode == -signal.SIGKILL)

    def order_loop(self):
        number = 0
        while not self.stopping.is_set():
            number += 1
            key = f"order-{id(self)}-{number}"
            outcomes = []
            for _ in range(self.random.choice((1, 1, 2, 3))):
                host = self.pick_host()
                try:
                    status, _, text = send_request(host["http"], "POST", "/v1/services/shop/orders", json.dumps({"order_id": key}), {"Idempotency-Key": key}, timeout=10)
                    run = "yes" if status < 300 else json.loads(text).get("error", {}).get("run", "maybe")
                except NETWORK_ERRORS:
                    run = "maybe"
                outcomes.append(run)
            self.orders[key] = outcomes
            self.report.count_event()
            time.sleep(0.1)

    def job_loop(self):
        number = 0
        while not self.stopping.is_set():
            number += 1
            key = f"job-{number}"
            count = self.random.choice((40, 300, 600))
            lines = fleetlib.job_lines(self.fleet.model, count, self.random.choice((4, 16)), prefix=key)
            for _ in range(self.random.choice((1, 2))):  # Callers resend a job when they do not know whether it was accepted.
                self.submit(key, count, lines)
            if key in self.jobs and self.random.random() < 0.25:
                time.sleep(self.random.random() * 2)
                self.cancel(key)
            self.report.count_event()
            time.sleep(2.0)

    def submit(self, key, count, lines):
        host = self.pick_host()
        try:
            status, _, text = send_request(host["http"], "POST", "/v1/jobs", lines, {"x-job-key": key, "x-due": "3600"}, timeout=20)
        except NETWORK_ERRORS:
            return
        if status >= 300:
            return
        job = json.loads(text)
        self.jobs[key] = {"id": job["id"], "count": count}
        if self.random.random() < 0.15:
            # The host fails right after its acknowledgement.
            self.kill_host(host, "kill_after_ack")

    def cancel(self, key):
        host = self.pick_host()
        self.cancel_unanswered.add(key)
        try:
            status, _, text = send_request(host["http"], "POST", f"/v1/jobs/{self.jobs[key]['id']}/cancel", timeout=10)
        except NETWORK_ERRORS:
            return
        if status < 300:
            self.cancelled[key] = time.monotonic()
        if status < 300 or json.loads(text).get("error", {}).get("run") == "no":
            self.cancel_unanswered.discard(key)

    def config_loop(self):
        """Two operators edit one template concurrently; at most one edit is accepted, the other gets a conflict."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            results = []
            threads = [threading.Thread(target=self.apply_edit, args=(f"op{i}", number, results)) for i in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            accepted = [r for r in results if r[0] == 200]
            expected = {r[2] for r in results if r[0] in (200, 409)}
            if len(results) == 2 and len(expected) == 1:
                self.report.check("config_forward", len(accepted) <= 1, f"both operators' edits of document revision {expected} were accepted")
            if accepted and not self.connectivity_lost and not self.paused_hosts:
                self.wait_in_force(max(r[1] for r in accepted))
            self.report.count_event()
            time.sleep(1.0)

    def apply_edit(self, operator, number, results):
        host = self.pick_host()
        try:
            status, _, text = send_request(host["admin"], "GET", "/admin/v1/config?kind=template&name=atelier", timeout=5)
            if status != 200:
                return
            document = json.loads(text)
            body = document["body"] if isinstance(document["body"], dict) else json.loads(document["body"])
            body["batch"]["share"] = 1.0 + (number % 50) / 100
            edit = {"kind": "template", "name": "atelier", "expected_doc_revision": document["doc_revision"], "body": body, "by": operator}
            status, _, text = send_request(host["admin"], "POST", "/admin/v1/config/apply", json.dumps(edit), timeout=8)
            results.append((status, json.loads(text).get("revision", 0), document["doc_revision"]))
        except NETWORK_ERRORS:
            return

    def wait_in_force(self, revision):
        """Checks that the revision comes into force on all ready hosts in time, unless a fault interferes."""
        end = time.monotonic() + CONFIG_IN_FORCE_S
        while time.monotonic() < end:
            if self.connectivity_lost or self.paused_hosts:
                return
            seen = {h["id"]: self.revision_of(h) for h in self.fleet.live_hosts() if self.ready.get(h["id"])}
            if all(value is None or value >= revision for value in seen.values()):
                self.report.check("config_forward", True, "")
                return
            time.sleep(0.1)
        if not self.connectivity_lost and not self.paused_hosts:
            self.report.check("config_forward", False, f"revision {revision} not in force after {CONFIG_IN_FORCE_S} s: {seen}")

    def revision_of(self, host):
        try:
            status, _, text = send_request(host["admin"], "GET", "/admin/v1/config", timeout=1)
            return json.loads(text)["revision"] if status == 200 else None
        except NETWORK_ERRORS:
            return None

    def revision_loop(self):
        """Checks that the revision of a host never falls below a revision that it has shown before."""
        while not self.stopping.is_set():
            for host in list(self.fleet.live_hosts()):
                floor = self.revisions[host["domain"]] if len(self.fleet.live_hosts()) == len(self.fleet.hosts) else 0
                own_floor = self.revisions[host["id"]]
                revision = self.revision_of(host)
                if revision:
                    self.report.check("config_forward", revision >= own_floor, f"{host['id']} went back from revision {own_floor} to {revision}")
                    self.revisions[host["id"]] = max(own_floor, revision)
                    self.revisions[host["domain"]] = max(floor, revision)
            time.sleep(0.3)

    # Faults.

    def kill_host(self, host, name="kill_host"):
        if len(self.fleet.live_hosts()) < 6:
            return
        self.report.record_fault(name)
        self.fleet.kill(host["id"])
        threading.Timer(self.random.uniform(0.5, 3.0), self.restart_host, (host,)).start()

    def restart_host(self, host):
        if self.stopping.is_set():
            return
        self.revisions[host["id"]] = 0 if self.connectivity_lost else self.revisions[host["id"]]
        self.fleet.start_host(host)

    def fault_kill(self):
        self.kill_host(self.random.choice(self.fleet.live_hosts()))

    def fault_pause(self):
        host = self.random.choice(self.fleet.live_hosts())
        self.report.record_fault("pause_past_lease")
        self.paused_hosts.add(host["id"])
        self.fleet.send_signal(host["id"], signal.SIGSTOP)
        time.sleep(LEASE_TTL_MS / 1000 + self.random.uniform(0.5, 2.0))
        self.fleet.send_signal(host["id"], signal.SIGCONT)
        time.sleep(1.0)
        self.paused_hosts.discard(host["id"])

    def platform_fault(self, name, **faults):
        self.report.record_fault(name)
        self.connectivity_lost = self.connectivity_lost or name == "platform_down"
        fleetlib.call_json("POST", self.fleet.platform_port, "/faults", faults)
        time.sleep(self.random.uniform(2.0, 5.0))
        fleetlib.call_json("POST", self.fleet.platform_port, "/faults", {"down": False, "slow_ms": 0, "lose_answers": 0.0})
        if name == "platform_down":
            time.sleep(1.0)
            self.connectivity_lost = False

    def fault_platform_down(self):
        self.platform_fault("platform_down", down=True)

    def fault_platform_slow(self):
        self.platform_fault("platform_slow", slow_ms=300)

    def fault_lost_answers(self):
        self.platform_fault("lost_answers", lose_answers=0.3, seed=self.random.randrange(1 << 30))

    def fault_cut(self):
        domain = self.random.choice(fleetlib.DOMAINS)
        one_way = self.random.random() < 0.4
        self.report.record_fault("cut_one_way" if one_way else "cut_domain")
        self.connectivity_lost = True
        self.fleet.cut_domain(domain, True, one_way)
        time.sleep(self.random.uniform(2.0, 6.0))
        self.fleet.cut_domain(domain, False)
        time.sleep(2.0)
        self.connectivity_lost = False

    def fault_engine_kill(self):
        index = self.random.randrange(len(self.fleet.engines))
        engine = self.fleet.engines[index]
        self.report.record_fault("kill_target")
        self.fleet.kill(engine["id"])
        time.sleep(self.random.uniform(0.5, 2.0))
        self.start_engine(index)

    def start_engine(self, index):
        engine = self.fleet.engines[index]
        self.fleet.spawn(engine["id"], "standin-engine", f"--port={engine['port']}", f"--slots={self.fleet.slots}", f"--models={self.fleet.model}@1", f"--seed={index + 1}", *self.fleet.engine_flags)

    def fault_silent(self):
        engine = self.random.choice(self.fleet.engines)
        self.report.record_fault("silent_connections")
        fleetlib.call_json("POST", engine["port"], "/faults", {"silent": True})
        time.sleep(1.0)
        fleetlib.call_json("POST", engine["port"], "/faults", {"silent": False})

    def fault_leaving(self):
        """A target drains, but the platform's list of targets does not show it."""
        engine = self.random.choice(self.fleet.engines)
        self.report.record_fault("target_leaving")
        fleetlib.call_json("POST", engine["port"], "/faults", {"draining": True})
        time.sleep(LEAVING_S)
        before = self.count_received(engine)
        time.sleep(1.5)
        after = self.count_received(engine)
        self.report.check("leaving_target", after == before, f"{engine['id']} received {after - before} requests more than {LEAVING_S} s after it began to drain")
        fleetlib.call_json("POST", engine["port"], "/faults", {"draining": False})

    @staticmethod
    def count_received(engine):
        """Counts the requests that reached a target, including refused ones."""
        stats = fleetlib.call_json("GET", engine["port"], "/stats?users=0")[1]
        return stats["started"] + stats["refused"]

    def fault_planned_stop(self):
        if len(self.fleet.live_hosts()) < 6:
            return
        host = self.random.choice(self.fleet.live_hosts())
        self.report.record_fault("planned_stop")
        self.stopping_hosts.add(host["id"])
        process = self.fleet.processes[host["id"]]
        self.fleet.send_signal(host["id"], signal.SIGTERM)
        try:
            process.wait(30)
            if process.returncode == 0 or process.returncode == -signal.SIGKILL:
                self.report.check("graceful_stop", True, "")
            else:
                self.report.check("graceful_stop", False, f"{host['id']} exited with {process.returncode}")
        except subprocess.TimeoutExpired:
            self.report.check("graceful_stop", False, f"{host['id']} did not stop within 30 s")
            process.kill()
            process.wait()
        self.stopping_hosts.discard(host["id"])
        self.restart_host(host)

    def fault_empty_disk(self):
        """A host is replaced with an empty disk."""
        disks = [h for h in self.fleet.live_hosts() if h["has_disk"]]
        if len(disks) < 3 or len(self.fleet.live_hosts()) < 6:
            return
        host = self.random.choice(disks)
        self.report.record_fault("empty_disk")
        self.fleet.kill(host["id"])
        folder = os.path.join(self.fleet.folder, "data-" + host["id"])
        for name in os.listdir(folder):
            os.unlink(os.path.join(folder, name))
        self.restart_host(host)
        # Only one disk is replaced in a run, because the repair of the replicas must finish before the next loss.
        self.fault_empty_disk = lambda: None

    # Final checks.

    def restore_fleet(self):
        """Ends all faults, restarts stopped hosts after checking their exit codes, and waits until all hosts are ready."""
        fleetlib.call_json("POST", self.fleet.platform_port, "/faults", {"down": False, "slow_ms": 0, "lose_answers": 0.0})
        for host in self.fleet.hosts:
            if self.fleet.processes[host["id"]].poll() is None:
                self.fleet.send_signal(host["id"], signal.SIGCONT)
            else:
                self.check_exit(host)
                self.fleet.start_host(host)
        for domain in fleetlib.DOMAINS:
            self.fleet.cut_domain(domain, False)
        fleetlib.wait_until(lambda: all(self.fleet.is_ready(h) for h in self.fleet.hosts), 30, "hosts did not become ready after all faults ended")

    def check_exit(self, host):
        code = self.fleet.processes[host["id"]].returncode
        self.report.check("invariants", code in (0, -signal.SIGKILL), f"{host['id']} exited with {code}; see its log")

    def check_answers(self):
        engine = self.fleet.engines[0]
        for body, text in random.Random(1).sample(list(self.answered_prompts.values()), min(60, len(self.answered_prompts))):
            expected = fleetlib.chat(engine["port"], {**body, "stream": True})
            self.report.check("whole_answer", text == expected, f"answer differs from the expected one: {text!r} instead of {expected!r}")

    def check_orders(self):
        executed = collections.Counter()
        for service in self.fleet.services:
            executed.update(fleetlib.call_json("GET", service["port"], "/stats")[1]["executions"])
        for key, outcomes in self.orders.items():
            self.report.check("at_most_once", executed[key] <= 1, f"{key} was executed {executed[key]} times, outcomes {outcomes}")
            if all(outcome == "no" for outcome in outcomes):
                self.report.check("not_run", executed[key] == 0, f"{key} was refused as not run but was executed")
            if "yes" in outcomes:
                self.report.check("at_most_once", executed[key] == 1, f"{key} succeeded but was executed {executed[key]} times")

    def check_jobs(self):
        uncancelled = {key: job for key, job in self.jobs.items() if key not in self.cancelled}
        end = time.monotonic() + 90
        unfinished = dict(uncancelled)
        while unfinished and time.monotonic() < end:
            for key, job in list(unfinished.items()):
                try:
                    _, _, text = send_request(self.pick_host()["http"], "GET", f"/v1/jobs/{job['id']}")
                    state = json.loads(text).get("state")
                    if state == "done" or (state == "cancelled" and key in self.cancel_unanswered):
                        del unfinished[key]
                    if state == "cancelled" and key in self.cancel_unanswered:
                        del uncancelled[key]
                except NETWORK_ERRORS:
                    pass
            time.sleep(0.3)
        for key, job in uncancelled.items():
            self.report.check("durable_ack", key not in unfinished, f"{key} with {job['count']} items did not finish within 90 s after all faults ended")
            if key not in unfinished:
                self.check_results(key, job)

    def check_results(self, key, job):
        seen = []
        for host in self.random.sample(self.fleet.live_hosts(), 2):
            _, _, text = send_request(host["http"], "GET", f"/v1/jobs/{job['id']}/results", timeout=30)
            seen.append(text)
            try:
                ids = collections.Counter(json.loads(line)["custom_id"] for line in text.splitlines() if line)
            except ValueError as error:
                self.report.check("exactly_once", False, f"{key}: results do not parse: {error}: {text[-200:]}")
                return
            self.report.check("exactly_once", len(ids) == job["count"] and all(n == 1 for n in ids.values()), f"{key}: {len(ids)} of {job['count']} items, most results of one item {max(ids.values(), default=0)}")
        self.report.check("exactly_once", seen[0] == seen[1], f"{key}: two hosts return different results")

    def check_cancelled(self):
        time.sleep(max(0.0, CANCEL_S - (time.monotonic() - max(self.cancelled.values(), default=0.0))))
        for key in self.cancelled:
            job = self.jobs[key]
            before = self.executions(key)
            time.sleep(1.0)
            after = self.executions(key)
            self.report.check("cancel_stops", after == before, f"{key}: {after - before} items started more than {CANCEL_S} s after the cancel")
            _, _, text = send_request(self.pick_host()["http"], "GET", f"/v1/jobs/{job['id']}")
            self.report.check("cancel_stops", json.loads(text).get("state") in ("cancelled", "done"), f"{key}: {text}")

    def executions(self, key):
        """Counts how often items of a job were started on all engines; every item carries the job key as its user."""
        return sum(fleetlib.call_json("GET", e["port"], "/stats")[1]["users"].get(key, {}).get("started", 0) for e in self.fleet.engines)

    def run(self, seconds):
        """Runs traffic and faults for the given time, then does the final checks."""
        loops = [self.balancer_loop, self.order_loop, self.job_loop, self.config_loop, self.revision_loop]
        self.threads = [threading.Thread(target=loop, daemon=True) for loop in loops]
        self.threads += [threading.Thread(target=self.online_loop, args=(i,), daemon=True) for i in range(4)]
        for thread in self.threads:
            thread.start()
        time.sleep(1.0)
        faults = [self.fault_kill, self.fault_pause, self.fault_platform_down, self.fault_platform_slow, self.fault_lost_answers, self.fault_cut, self.fault_engine_kill, self.fault_silent, self.fault_leaving, self.fault_planned_stop, self.fault_empty_disk]
        self.random.shuffle(faults)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = faults.pop(0)
            faults.append(fault)
            fault()
            if self.random.random() < 0.5:  # Otherwise the effects of this fault overlap with the next one.
                time.sleep(self.random.uniform(0.5, 2.0))
        self.stopping.set()
        for thread in self.threads:
            thread.join(40)
        self.restore_fleet()
        self.check_answers()
        self.check_orders()
        self.check_cancelled()
        self.check_jobs()
        for host in self.fleet.hosts:
            if self.fleet.processes[host["id"]].poll() is not None:
                self.check_exit(host)


def run_property_tests(options, report):
    """Runs the property tests of the decision functions with the given seed and returns the number of property runs."""
    programs = sorted(name for name in os.listdir(options.build) if name.startswith("test_") and name in DECISION_TESTS)
    for name in programs:
        with tempfile.NamedTemporaryFile() as checks:
            environment = {**os.environ, "SKYLARK_PROPERTY_SEED": str(options.seed), "SKYLARK_PROPERTY_RUNS": str(options.property_runs), "SKYLARK_CHECK_REPORT": checks.name, "RC_PARAMS": f"seed={options.seed} max_success={options.property_runs}"}
            completed = subprocess.run([os.path.join(options.build, name)], env=environment, capture_output=True, text=True, timeout=600, check=False)
            for line in checks.read().decode().splitlines():
                promise, count = line.split()
                report.checked[promise] += int(count)
                report.events += int(count)
        if completed.returncode != 0:
            report.violations.append(f"decisions: {name} failed with seed {options.seed}: {completed.stdout[-2000:]}{completed.stderr[-1000:]}")
        print(f"decisions: {name} {'passed' if completed.returncode == 0 else 'FAILED'}", flush=True)
    return len(programs) * options.property_runs


def run_processes(options, seed, report):
    """Does one run on a new fleet with the given seed."""
    folder = options.folder or tempfile.mkdtemp(prefix="skylark-prove-")
    folder = os.path.join(folder, f"seed-{seed}")
    os.makedirs(folder, exist_ok=True)
    print(f"run with seed {seed}, logs in {folder}", flush=True)
    relay = relaylib.Relay(seed)
    fleet = RelayedFleet(options.build, folder, relay)
    try:
        fleet.start_platform()
        fleet.start_targets()
        fleet.start_hosts()
        fleet.create_workspace(online={"deadline_ms": 10000, "first_byte_timeout_ms": 2000, "idle_timeout_ms": 1500})
        Run(fleet, report, random.Random(seed)).run(options.run_seconds)
    finally:
        fleet.stop()
        relay.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0, help="total time of the fault phases of all runs")
    parser.add_argument("--run_seconds", type=float, default=30.0, help="time of the fault phase of one run")
    parser.add_argument("--property_runs", type=int, default=300, help="number of random cases for each property")
    parser.add_argument("--no-processes", dest="processes", action="store_false", help="test only the decision functions")
    parser.add_argument("--folder", help="folder for settings, logs and data; by default a new temporary one; it is not deleted")
    options = parser.parse_args()
    report = Report()
    decision_runs = run_property_tests(options, report)
    runs = 0
    while options.processes and (runs == 0 or runs * options.run_seconds < options.seconds):
        run_processes(options, options.seed + runs, report)
        runs += 1
    for violation in report.violations:
        print("violation:", violation)
    if report.violations:
        print(f"replay: tools/prove --seed {options.seed} --seconds {options.seconds:g}")
    print(json.dumps({"seed": options.seed, "runs": runs + decision_runs, "events": report.events, "faults": dict(report.faults), "checked": dict(report.checked), "violations": len(report.violations)}))
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
