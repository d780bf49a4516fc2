"""Tests bench/faults.py itself, without daemons."""
import importlib.util
import sys
import threading
import unittest
from pathlib import Path

BENCH = Path(__file__).resolve().parents[2] / "bench" / "faults.py"
module_spec = importlib.util.spec_from_file_location("faults", BENCH)
faults = importlib.util.module_from_spec(module_spec)
module_spec.loader.exec_module(faults)


class NeverReadyProcess:
    program = "marigold-entry"

    def signal(self, number):
        pass

    def start(self):
        pass

    def wait(self, seconds):
        return 0


class NeverReadyDeployment:
    processes = {"entry-1": NeverReadyProcess()}

    def wait_for(self, check, seconds, what):
        if what == "the deployment before the rolling replacement":
            return
        raise RuntimeError(f"{what} was not ready within {seconds} s")


class FaultsTest(unittest.TestCase):
    def test_replacement_that_never_gets_ready_fails_and_stops_callers(self):
        # If a replaced process never gets ready, the wait raises. Guards against caller threads that are not stopped
        # then and keep the program running.
        bench = faults.Bench.__new__(faults.Bench)
        bench.tally = faults.Tally()
        bench.deployment = NeverReadyDeployment()
        calls = []
        bench.stream = lambda index: calls.append(index)
        bench.order = lambda index: calls.append(index)
        before = set(threading.enumerate())
        with self.assertRaises(RuntimeError):
            bench.rolling_replacement()
        self.assertTrue(calls)
        self.assertEqual([thread for thread in threading.enumerate() if thread not in before], [])


if __name__ == "__main__":
    sys.exit(unittest.main())
