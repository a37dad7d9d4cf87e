"""A crowd beside the two processes of an upgrade, which share one memory limit."""

import subprocess
import sys
import time

from scenario import ROOT, Gateway

from standins.crowd import status_mb

MEMORY_MB, CLIENTS, SECONDS = 64, 200, 6.0


def test_two_processes_of_an_upgrade_keep_their_limit_together_under_a_crowd() -> None:
    gateway = Gateway(True, memory_mb=MEMORY_MB, sockets=1024)
    command = [sys.executable, "-m", "standins.hostile", "--behaviour", "leave", "--seed", "5"]
    command += ["--port", str(gateway.port), "--clients", str(CLIENTS), "--seconds", str(SECONDS)]
    crowd = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    try:
        time.sleep(1.0)
        successor = gateway.successor()
        try:
            largest_mb = 0.0
            end_s = time.monotonic() + 1.5
            while time.monotonic() < end_s:
                sizes_mb = [status_mb(each.process.pid, "VmRSS") for each in (gateway, successor)]
                largest_mb = max(largest_mb, sum(sizes_mb)) if all(sizes_mb) else largest_mb
                time.sleep(0.02)
        finally:
            successor.kill()
    finally:
        crowd.kill()
        crowd.wait()
        gateway.stop()
    assert 0.0 < largest_mb <= MEMORY_MB
