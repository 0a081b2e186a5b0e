#!/usr/bin/env python3
"""Measures calls through an entry node and the node of a target, with direct calls to the target as the baseline.

Starts one target_server and two static_proxy processes on free loopback ports, runs load_generator at
several call rates, and prints the latencies, the added latency, and the CPU time of each node per call.
"""
import argparse
import json
import os
import pathlib
import statistics
import subprocess

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def start(command):
    """Starts a process; returns it with the words of its first line of output, which names the ports."""
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    return process, process.stdout.readline().split()


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def generate_load(binaries, address, rate, options):
    command = [binaries / "load_generator", address, "--rate", str(rate), "--duration-ms",
               str(options.duration_ms), "--connections", str(options.connections), "--method",
               "POST" if options.body_bytes else "GET", "--body-bytes", str(options.body_bytes)]
    return json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout)


def measure_round(binaries, options, rate, direct, through, nodes):
    base = generate_load(binaries, direct, rate, options)
    before = [cpu_seconds(node) for node in nodes]
    result = generate_load(binaries, through, rate, options)
    cpu_us_per_call = [1e6 * (cpu_seconds(node) - then) / result["sent"] for node, then in zip(nodes, before)]
    return (base["p50_ms"], base["p99_ms"], result["p50_ms"], result["p99_ms"], *cpu_us_per_call,
            result["sent"] - result["ok"])


def measure(binaries, options, direct, through, nodes):
    print(f"medians of {options.rounds} rounds; direct calls and calls through the nodes alternate")
    print("rate  direct p50/p99 ms  through p50/p99 ms  added p50/p99 ms  "
          "entry/peer us per call  calls/s per core  failed")
    for rate in options.rates:
        rounds = [measure_round(binaries, options, rate, direct, through, nodes)
                  for _ in range(options.rounds)]
        direct50, direct99, through50, through99, entry, peer, _ = map(statistics.median, zip(*rounds))
        added99 = statistics.median(result[3] - result[1] for result in rounds)
        print(f"{rate:5d}  {direct50:.3f} {direct99:.3f}  {through50:.3f} {through99:.3f}  "
              f"{through50 - direct50:.3f} {added99:.3f}  {entry:.0f} {peer:.0f}  "
              f"{1e6 / max(entry + peer, 1):.0f}  {sum(result[6] for result in rounds)}", flush=True)
    print("resident MB: " + ", ".join(f"{resident_mb(node):.1f}" for node in nodes))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", type=pathlib.Path, default=pathlib.Path("build/bin"))
    parser.add_argument("--rates", type=int, nargs="+", default=[200, 600, 1500, 3000])
    parser.add_argument("--duration-ms", type=int, default=2000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--body-bytes", type=int, default=0)
    options = parser.parse_args()
    processes = []
    try:
        target, words = start([options.bin / "target_server", "--slots", "64"])
        processes.append(target)
        direct = words[-1]
        peer, words = start([options.bin / "static_proxy", "--name", "peer", "--target", direct])
        processes.append(peer)
        entry, words = start([options.bin / "static_proxy", "--name", "entry", "--remote",
                              f"127.0.0.1:{words[3]}"])
        processes.append(entry)
        measure(options.bin, options, direct, f"127.0.0.1:{words[1]}", [entry, peer])
    finally:
        for process in reversed(processes):
            process.terminate()
            process.wait()


if __name__ == "__main__":
    main()
