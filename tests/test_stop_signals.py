"""Signals that stop a daemon."""

import subprocess
import sys

# Another thread takes the signal while the main thread waits.
PROGRAM = """
import signal, threading, time
from oriolelock import stop_signals
wait = stop_signals.catch()
def take():
    time.sleep(0.3)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(60.0)
threading.Thread(target=take, daemon=True).start()
wait()
"""


def test_a_signal_that_another_thread_takes_stops_the_process():
    """Guards against a planned stop that never begins, so that the process is killed."""
    done = subprocess.run([sys.executable, "-c", PROGRAM], timeout=20.0, check=False)
    assert done.returncode == 0
