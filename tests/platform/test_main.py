"""How the programs start on the platform."""

import subprocess
import sys

CHECK = """
import signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "oriolelock.platform.programs":
            print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
        return None

sys.meta_path.insert(0, Finder())
import oriolelock.platform.__main__
"""


def test_a_reload_during_the_start_does_not_end_the_process():
    """Soak seed 22: SIGHUP reached a replica that had just been started again."""
    done = subprocess.run([sys.executable, "-c", CHECK], capture_output=True, text=True)
    assert done.stdout == "True\n"


def test_missing_settings_are_one_line_and_exit_code_2(tmp_path):
    done = subprocess.run(
        [sys.executable, "-m", "oriolelock.platform", "entry"],
        capture_output=True,
        text=True,
        env={"PATH": "", "ORIOLELOCK_SETTINGS": str(tmp_path / "none")},
    )
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
