"""Measures the scheduling policy against baseline policies and prints a JSON object as the last line."""

import argparse
import json
import math
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request

import fleet as fleetlib

# An online request holds a slot for about half a second (16 steps of 29 ms). Three domains of three engines with 6 slots each have 54 slots.
PRESETS = {
    # Frequent bursts: online requests use about a fifth of the slots between bursts and about three fifths in a burst.
    "mask": {"tail_weight": 0.9, "rate": 22, "burst_factor": 3, "burst_seconds": 1.0, "idle_seconds": 2.0},
    # Moderate load with idle periods of several seconds.
    "dial": {"tail_weight": 0.2, "rate": 14, "burst_factor": 3, "burst_seconds": 1.5, "idle_seconds": 5.0},
}
VARIANTS = (
    # (name, policy_mode, with online, with batch)
    ("ours", "adaptive", True, True),
    ("online_alone", "adaptive", True, False),
    ("batch_alone", "adaptive", False, True),
    ("round_robin", "round_robin", True, True),
    ("static_split", "static_split", True, True),
)
FIGURES = ("online_p99_ratio", "batch_share", "yield_ms_p99")
ENGINES_PER_DOMAIN = 3
SLOTS = 6
BATCH_TOKENS = 32
ONLINE_TOKENS = 16
# Upper bound on what 54 slots can finish: an item holds a slot for 32 steps of at least 25 ms.
ITEMS_PER_SECOND = 80
GROUP_ITEMS = 256
ADDED_LATENCY_RATE = 500


def quantile(values, fraction):
    """Returns the nearest-rank quantile; 0 when there are no values."""
    ordered = sorted(values)
    return ordered[max(math.ceil(fraction * len(ordered)), 1) - 1] if ordered else 0.0


def engine_stats(fleet):
    return [fleetlib.call_json("GET", engine["port"], "/stats?users=0&waits=1")[1] for engine in fleet.engines]


def load_command(fleet, urls, rate, seconds, seed, *flags):
    return [
        os.path.join(fleet.build, "skylark-load"),
        f"--base_url={urls}",
        f"--api_key={fleetlib.API_KEY}",
        f"--model={fleet.model}",
        f"--rate={rate}",
        f"--seconds={seconds}",
        f"--seed={seed}",
        *flags,
    ]


def start_load(command):
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)


def finish_load(process, seconds):
    """Waits for a load generator and returns its report, which is its last line of output."""
    try:
        text, _ = process.communicate(timeout=seconds + 60)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()
        raise
    return json.loads(text.splitlines()[-1])


def submit_batch(fleet, seconds):
    count = max(4096, GROUP_ITEMS * math.ceil(ITEMS_PER_SECOND * seconds / GROUP_ITEMS))
    path = os.path.join(fleet.folder, "job.jsonl")
    with open(path, "w", encoding="utf-8") as file:
        for line in fleetlib.job_lines(fleet.model, count, BATCH_TOKENS).splitlines():
            item = json.loads(line)
            # Engines recognise tokens that are generated again for the same item by this member.
            item["body"]["user"] = item["custom_id"]
            file.write(json.dumps(item) + "\n")
    fleet.run_ctl("job", "submit", f"--file={path}", "--key=bench", "--due=3600", "--json")
    return count


def online_flags(preset):
    return [f"--burst_factor={preset['burst_factor']}", f"--burst_seconds={preset['burst_seconds']}", f"--idle_seconds={preset['idle_seconds']}", f"--max_tokens={ONLINE_TOKENS}"]


def window_figures(before, after, seconds):
    """Returns rates and yield times in the window, from the counters of the engines."""
    total = sum(a["tokens"] - b["tokens"] for a, b in zip(after, before))
    online = sum(a["online_tokens"] - b["online_tokens"] for a, b in zip(after, before))
    regenerated = sum(a["tokens_regenerated"] - b["tokens_regenerated"] for a, b in zip(after, before))
    waits = [w for a, b in zip(after, before) for w in a["online_waits"][len(b["online_waits"]):]]
    return {
        "window_s": seconds,
        "online_tokens_s": online / seconds,
        "batch_tokens_s": (total - online - regenerated) / seconds,
        "regenerated_tokens_s": regenerated / seconds,
        "cancelled": sum(a["cancelled"] - b["cancelled"] for a, b in zip(after, before)),
        "yield_ms": {"count": len(waits), "p50": quantile(waits, 0.5), "p99": quantile(waits, 0.99), "max": quantile(waits, 1)},
        "engine_step_ms": statistics.mean(a["step_ms"] for a in after),
    }


def run_variant(options, variant, preset, seed):
    name, mode, with_online, with_batch = variant
    with tempfile.TemporaryDirectory(prefix="skylark-bench-") as folder:
        fleet = fleetlib.Fleet(options.build, folder, ENGINES_PER_DOMAIN, 1, SLOTS, settings={"policy_mode": mode})
        load_process = None
        try:
            fleet.start_platform()
            fleet.start_targets()
            fleet.start_hosts()
            fleet.create_workspace(batch={"share": 1.0, "tail_weight": preset["tail_weight"], "default_due_s": 3600, "max_attempts": 4})
            items = submit_batch(fleet, options.warm_up_seconds + options.window_seconds) if with_batch else 0
            result = {"variant": name, "items": items, "load_average": os.getloadavg()[0]}
            if with_online:
                # The first load warms up averages and caches; only the second one is measured.
                load_process = start_load(load_command(fleet, fleet.api_list(), preset["rate"], options.warm_up_seconds, seed + 1000, *online_flags(preset)))
            time.sleep(options.warm_up_seconds)
            before = engine_stats(fleet)
            started = time.monotonic()
            if with_online:
                warm_up_process = load_process
                command = load_command(fleet, fleet.api_list(), preset["rate"], options.window_seconds, seed, *online_flags(preset))
                load_process = start_load(command)
                warm_up_process.communicate(timeout=60)
            time.sleep(max(0, started + options.window_seconds - time.monotonic()))
            after = engine_stats(fleet)
            result.update(window_figures(before, after, time.monotonic() - started))
            if with_online:
                result["load_command"] = command
                result["online"] = finish_load(load_process, options.window_seconds)
            if with_batch:
                result["batch_left"] = all(s["running"] + s["waiting"] > 0 for s in after)
            return result
        finally:
            if load_process is not None and load_process.poll() is None:
                load_process.kill()
                load_process.wait()
            fleet.stop()


def variant_figures(run, alone, batch_alone):
    """Returns the figures of a run relative to the runs with online requests alone and with batch items alone."""
    available_tokens_s = batch_alone["batch_tokens_s"] - run["online_tokens_s"]
    return {
        "online_p99_ratio": run["online"]["first_token_ms"]["p99"] / alone["online"]["first_token_ms"]["p99"],
        "batch_share": run["batch_tokens_s"] / available_tokens_s if available_tokens_s > 0 else 0.0,
        "yield_ms_p99": run["yield_ms"]["p99"],
    }


def metric_quantiles(host, name):
    """Returns the quantiles of a time metric of one host, in milliseconds."""
    with urllib.request.urlopen(f"http://{fleetlib.ADDRESS}:{host['admin']}/metrics", timeout=5) as response:
        text = response.read().decode()
    found = re.findall(r'^' + name + r'_quantile\{[^}]*quantile="([0-9.]+)"[^}]*\} (\S+)', text, re.MULTILINE)
    return {q: float(value) * 1000 for q, value in found}


def measure_added_latency(options):
    """Measures the latency that one host adds: from its metric, and by comparison with the same load sent to the engines directly."""
    with tempfile.TemporaryDirectory(prefix="skylark-bench-") as folder:
        # Short steps and many slots, so that no requests queue at the engines.
        fleet = fleetlib.Fleet(options.build, folder, 2, 1, 64, engine_flags=("--time_scale=10",))
        try:
            fleet.start_platform()
            fleet.start_targets()
            fleet.start_hosts()
            fleet.create_workspace()
            time.sleep(2)
            host = fleet.hosts[0]
            direct = ",".join(f"{fleetlib.ADDRESS}:{e['port']}" for e in fleet.engines if e["domain"] == host["domain"])
            runs = {}
            for name, urls in (("direct", direct), ("host", f"{fleetlib.ADDRESS}:{host['http']}")):
                command = load_command(fleet, urls, ADDED_LATENCY_RATE, options.added_latency_seconds, options.seed, "--max_tokens=4")
                runs[name] = finish_load(start_load(command), options.added_latency_seconds)
            metric = metric_quantiles(host, "skylark_added_seconds")
            gap = {q: runs["host"]["first_token_ms"][q] - runs["direct"]["first_token_ms"][q] for q in ("p50", "p99")}
            return {"p50": metric.get("0.5"), "p99": metric.get("0.99"), "rate": ADDED_LATENCY_RATE, "first_token_gap_ms": gap, "runs": runs, "load_average": os.getloadavg()[0]}
        finally:
            fleet.stop()


def spread(values):
    return {"min": min(values), "median": statistics.median(values), "max": max(values)}


def round_floats(value):
    if isinstance(value, dict):
        return {k: round_floats(v) for k, v in value.items()}
    return round(value, 3) if isinstance(value, float) else value


def summarise(rounds):
    by_name = {}
    for name in ("ours", "round_robin", "static_split"):
        figures = [variant_figures(r[name], r["online_alone"], r["batch_alone"]) for r in rounds]
        by_name[name] = {key: spread([f[key] for f in figures]) for key in FIGURES}
    ours = by_name.pop("ours")
    summary = {key: ours[key]["median"] for key in FIGURES}
    summary["rounds"] = len(rounds)
    summary["spread"] = ours
    summary["engine_step_ms"] = statistics.median(r["ours"]["engine_step_ms"] for r in rounds)
    summary["baselines"] = by_name
    return round_floats(summary)


def bars(rounds, left, title, value):
    """Returns the SVG elements of a bar chart: the median of the rounds for each variant."""
    heights = {name: statistics.median(value(r[name]) for r in rounds) for name, *_ in VARIANTS if value(rounds[0][name]) is not None}
    top = max(heights.values()) or 1
    parts = [f'<text x="{left}" y="24" font-size="15">{title}</text>']
    for i, (name, height) in enumerate(heights.items()):
        x, size = left + i * 90, 200 * height / top
        parts.append(f'<rect x="{x}" y="{250 - size:.1f}" width="60" height="{size:.1f}" fill="#4878a8"/>')
        parts.append(f'<text x="{x}" y="{245 - size:.1f}" font-size="12">{height:.1f}</text><text x="{x}" y="268" font-size="11">{name}</text>')
    return "".join(parts)


def write_plot(path, rounds):
    latency_bars = bars(rounds, 20, "p99 time to first token (ms), median of the rounds", lambda r: r["online"]["first_token_ms"]["p99"] if "online" in r else None)
    throughput_bars = bars(rounds, 480, "batch tokens per second, median of the rounds", lambda r: r["batch_tokens_s"])
    with open(path, "w", encoding="utf-8") as file:
        file.write(f'<svg xmlns="http://www.w3.org/2000/svg" width="960" height="290" font-family="sans-serif">{latency_bars}{throughput_bars}</svg>\n')


def measure_rounds(options):
    rounds = []
    for number in range(options.rounds):
        seed = options.seed + number
        result = {}
        # Each round starts with another variant, so that gradual changes of the machine's speed do not favour one of them.
        for i in range(len(VARIANTS)):
            variant = VARIANTS[(i + number) % len(VARIANTS)]
            run = result[variant[0]] = run_variant(options, variant, PRESETS[options.preset], seed)
            p99 = run["online"]["first_token_ms"]["p99"] if "online" in run else float("nan")
            print(f"round {number} {variant[0]}: p99 {p99:.1f} ms, batch {run['batch_tokens_s']:.0f} tokens/s, online {run['online_tokens_s']:.0f} tokens/s, yield p99 {run['yield_ms']['p99']:.1f} ms of {run['yield_ms']['count']}, step {run['engine_step_ms']:.1f} ms, load average {run['load_average']:.1f}", flush=True)
        rounds.append(result)
    return rounds


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="folder of the built programs")
    parser.add_argument("--quick", action="store_true", help="two rounds with short windows; takes less than four minutes")
    parser.add_argument("--preset", choices=sorted(PRESETS), default="mask")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, help="number of rounds; by default 2 with --quick, 5 otherwise")
    parser.add_argument("--report", help="file to which all details are written as JSON")
    parser.add_argument("--plot", help="file to which a plot is written as SVG")
    options = parser.parse_args()
    options.rounds = options.rounds or (2 if options.quick else 5)
    options.warm_up_seconds = 4 if options.quick else 10
    options.window_seconds = 9 if options.quick else 40
    options.added_latency_seconds = 5 if options.quick else 20
    return options


def main():
    options = parse_options()
    rounds = measure_rounds(options)
    added = measure_added_latency(options)
    summary = summarise(rounds)
    summary["added_ms"] = round_floats({"p50": added["p50"], "p99": added["p99"]})
    print(f"added time: {json.dumps(round_floats({k: added[k] for k in ('p50', 'p99', 'rate', 'first_token_gap_ms', 'load_average')}))}")
    if options.report:
        with open(options.report, "w", encoding="utf-8") as file:
            json.dump({"command": sys.argv, "preset": PRESETS[options.preset], "summary": summary, "rounds": rounds, "added": added}, file, indent=1)
    if options.plot:
        write_plot(options.plot, rounds)
    print(json.dumps(summary), flush=True)


if __name__ == "__main__":
    main()
