"""Starts a small fleet on loopback: skylarkd hosts, and stand-ins for the platform and the targets."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.request

ADDRESS = "127.0.0.1"
DOMAINS = ("north", "centre", "south")
HOST_DOMAINS = ("north", "north", "north", "centre", "centre", "south", "south")
MODEL = "mask-brief"
API_KEY = "demo-key"


def free_ports(count):
    """Returns ports that are free for TCP and UDP, below the ephemeral port range of the kernel."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        if port in ports:
            continue
        try:
            for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, socket_type) as probe:
                    probe.bind((ADDRESS, port))
        except OSError:
            continue
        ports.append(port)
    return ports


def call_json(method, port, path, body=None, headers=None, timeout=10):
    """Calls an endpoint with a JSON body and returns (status, decoded body); the decoded body is None when empty."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout)
    try:
        data = json.dumps(body) if body is not None else None
        connection.request(method, path, data, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        text = response.read().decode()
        return response.status, json.loads(text) if text else None
    finally:
        connection.close()


def wait_until(condition, seconds, failure_message):
    """Polls until the condition is true; raises TimeoutError after the given time. Network and parse errors count as false."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.05)
    raise TimeoutError(failure_message)


class Fleet:
    """All processes of one fleet. stop() ends every one of them."""

    def __init__(self, build, folder, engines_per_domain=4, services_per_domain=1, slots=8, engine_flags=(), model=MODEL, settings=None):
        self.build = build
        self.folder = folder
        self.slots = slots
        self.model = model
        self.engine_flags = list(engine_flags)
        self.extra_settings = settings or {}
        self.processes = {}
        self.platform_port = free_ports(1)[0]
        engine_count = engines_per_domain * len(DOMAINS)
        service_count = services_per_domain * len(DOMAINS)
        ports = free_ports(engine_count + service_count + 4 * len(HOST_DOMAINS))
        self.engines = [{"id": f"engine-{i}", "domain": DOMAINS[i % 3], "port": ports.pop()} for i in range(engine_count)]
        self.services = [{"id": f"shop-{i}", "domain": DOMAINS[i % 3], "port": ports.pop()} for i in range(service_count)]
        self.hosts = []
        seen_domains = set()
        for i, domain in enumerate(HOST_DOMAINS):
            has_disk = domain not in seen_domains
            seen_domains.add(domain)
            self.hosts.append({"id": f"host-{i}", "domain": domain, "http": ports.pop(), "admin": ports.pop(), "peer_rpc": ports.pop(), "status": ports.pop(), "has_disk": has_disk})

    def spawn(self, name, *command):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen([os.path.join(self.build, command[0]), *command[1:]], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def start_platform(self):
        self.spawn("platform", "standin-platform", f"--port={self.platform_port}")
        wait_until(lambda: call_json("GET", self.platform_port, "/stats")[0] == 200, 10, "platform stand-in does not answer")

    def start_targets(self):
        for i, engine in enumerate(self.engines):
            self.spawn(engine["id"], "standin-engine", f"--port={engine['port']}", f"--slots={self.slots}", f"--models={self.model}@1", f"--seed={i + 1}", *self.engine_flags)
        for service in self.services:
            self.spawn(service["id"], "standin-service", f"--port={service['port']}")
        targets = [{"id": e["id"], "kind": "engine", "service": "", "domain": e["domain"], "address": ADDRESS, "port": e["port"], "leaving": False, "checks_fencing": True, "order_timeout_ms": 1000} for e in self.engines]
        targets += [{"id": s["id"], "kind": "service", "service": "shop", "domain": s["domain"], "address": ADDRESS, "port": s["port"], "leaving": False, "checks_fencing": True, "order_timeout_ms": 1000} for s in self.services]
        status, answer = call_json("POST", self.platform_port, "/targets", targets)
        if status >= 300:
            raise RuntimeError(f"registering targets failed with status {status}: {answer}")

    def host_settings(self, host):
        def address(h, key):
            return f"{ADDRESS}:{h[key]}"

        hosts = [{"id": h["id"], "domain": h["domain"], "http": address(h, "http"), "admin": address(h, "admin"), "peer_rpc": address(h, "peer_rpc"), "status": address(h, "status"), "has_disk": h["has_disk"]} for h in self.hosts]
        settings = {
            "host": host["id"],
            "hosts": hosts,
            "links": [{"domain": d, "one_way_delay_ms": 3, "cost_factor": 1.5} for d in DOMAINS if d != host["domain"]],
            "platform": f"{ADDRESS}:{self.platform_port}",
            "log_folder": "",
            **self.extra_settings,
        }
        if host["has_disk"]:
            settings["data_folder"] = os.path.join(self.folder, "data-" + host["id"])
            os.makedirs(settings["data_folder"], exist_ok=True)
        return settings

    def start_host(self, host):
        path = os.path.join(self.folder, host["id"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write("// Settings of one host, written by tools/lib/fleet.py.\n")
            json.dump(self.host_settings(host), file, indent=2)
        self.spawn(host["id"], "skylarkd", f"--settings={path}")

    def start_hosts(self):
        for host in self.hosts:
            self.start_host(host)
        wait_until(lambda: all(self.is_ready(h) for h in self.hosts), 20, "not every host became ready")

    def is_ready(self, host):
        with urllib.request.urlopen(f"http://{ADDRESS}:{host['admin']}/readyz", timeout=1) as response:
            return response.status == 200

    def live_hosts(self):
        return [h for h in self.hosts if self.processes.get(h["id"]) and self.processes[h["id"]].poll() is None]

    def admin_list(self):
        return ",".join(f"{ADDRESS}:{h['admin']}" for h in self.live_hosts())

    def api_list(self):
        return ",".join(f"{ADDRESS}:{h['http']}" for h in self.live_hosts())

    def run_ctl(self, *arguments, check=True):
        """Runs skylarkctl on the live hosts and returns the completed process; raises when it fails, unless check is false."""
        command = [os.path.join(self.build, "skylarkctl"), f"--admin={self.admin_list()}", f"--api={self.api_list()}", f"--api_key={API_KEY}", *arguments]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if check and completed.returncode != 0:
            raise RuntimeError(f"skylarkctl {' '.join(arguments)} exited with {completed.returncode}: {completed.stdout}{completed.stderr}")
        return completed

    def apply_document(self, kind, name, body):
        path = os.path.join(self.folder, f"{kind}-{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(body, file, indent=2)
        return json.loads(self.run_ctl(kind, "apply", name, f"--file={path}", "--by=demo", "--json").stdout)["revision"]

    def create_workspace(self, batch=None, online=None):
        """Creates a template and a workspace with skylarkctl and waits until they are in force on all hosts."""
        template = {
            "models": [{"name": self.model, "version": "1", "adapters": [], "replicas": 0}],
            "services": [{"name": "shop", "calls": [{"method": "POST", "path_prefix": "/orders", "repeatable": False}, {"method": "GET", "path_prefix": "/catalogue", "repeatable": True}]}],
            "online": online or {"deadline_ms": 10000},
            "batch": batch or {"share": 1.0, "tail_weight": 0.5, "default_due_s": 3600, "max_attempts": 4},
        }
        self.apply_document("template", "atelier", template)
        revision = self.apply_document("workspace", "masque-dodo", {"template": "atelier", "api_keys": [API_KEY]})
        self.run_ctl("revision", "wait", f"--revision={revision}", "--timeout=10s")

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


def chat_body(model, prompt, stream, max_tokens=16):
    return {"model": model, "stream": stream, "max_tokens": max_tokens, "messages": [{"role": "user", "content": prompt}]}


def chat(port, body, timeout=30):
    """Sends one chat completion and returns the complete text; raises when the answer is incomplete."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout)
    try:
        connection.request("POST", "/v1/chat/completions", json.dumps(body), {"Content-Type": "application/json", "Authorization": "Bearer " + API_KEY})
        response = connection.getresponse()
        text = response.read().decode()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {text}")
    finally:
        connection.close()
    if not body["stream"]:
        return json.loads(text)["choices"][0]["message"]["content"]
    events = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
    if not events or events[-1] != "[DONE]":
        raise RuntimeError("stream ended without [DONE]")
    return "".join(json.loads(e)["choices"][0]["delta"].get("content", "") for e in events[:-1] if json.loads(e)["choices"])


def job_lines(model, count, max_tokens=16, prefix="item"):
    """Returns the JSON lines of a job submission with the given number of items."""
    lines = []
    for i in range(count):
        body = chat_body(model, f"Describe catalogue entry {prefix}-{i}.", False, max_tokens)
        body["user"] = prefix
        lines.append(json.dumps({"custom_id": f"{prefix}-{i}", "method": "POST", "url": "/v1/chat/completions", "body": body}))
    return "\n".join(lines) + "\n"
