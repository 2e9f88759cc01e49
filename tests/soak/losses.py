"""Control replicas are lost, come back or are replaced, a bounded number of them at once."""

import pathlib
import random
import signal
import threading
import time

from tests.soak import control_group, fleet, plan

__all__ = ["Losses"]

# Without a leader for so long, any replica will do.
LEADER_LIMIT_S = 2.0


class Losses:
    """At most ``most`` replicas are lost at once; each counts until it has caught up again."""

    def __init__(
        self,
        group: fleet.Fleet,
        control: control_group.ControlGroup,
        most: int,
        seed: int,
        log: pathlib.Path,
    ):
        self._fleet = group
        self._control = control
        self._room = threading.Semaphore(most)
        self._rng = random.Random(seed)
        self._log = log
        self._lock = threading.Lock()
        self._lost: set[str] = set()
        self.broken: list[str] = []

    def carry_out(self, loss: plan.Loss) -> None:
        """Take a replica away and give it, or another one, back; returns when that counts."""
        with self._room:
            leader = self._find_leader() if loss.of_leader else ""
            with self._lock:
                living = self._living()
                host = leader if leader in living else living[loss.target % len(living)]
                self._lost.add(host)
            self._note(f"{loss.kind} {host}{' (leads)' if leader == host else ''}")
            successor, started_s = self._lose(loss, host)
            self._note(f"{successor} runs in its place" if successor != host else f"{host} is back")
            time.sleep(max(0.0, started_s + control_group.CATCH_UP_S - time.monotonic()))
            with self._lock:
                self._lost -= {host, successor}

    def rewrite(self, host: str) -> None:
        """Write the settings of a process again, with seeds as an operator's list has them."""
        self._fleet.rewrite(host, self._seeds())

    def _find_leader(self):
        end_s = time.monotonic() + LEADER_LIMIT_S
        while time.monotonic() < end_s:
            if leader := self._control.find_leader(self._living()):
                return leader
        return ""

    def _living(self):
        return [host for host in tuple(self._fleet.control_hosts) if host not in self._lost]

    def _seeds(self):
        """Return addresses of which one replica at least isn't lost at this moment."""
        known = list(self._fleet.control_hosts)
        first = self._rng.choice(self._living())
        others = [host for host in known if host != first]
        return [first, *self._rng.sample(others, min(len(others), fleet.SEEDS - 1))]

    def _lose(self, loss, host):
        """Carry out a loss; returns the replica that runs in the end, and since when it does."""
        group = self._fleet
        if loss.kind == "pause":
            group.signal(host, signal.SIGSTOP)
            time.sleep(loss.for_s)
            group.signal(host, signal.SIGCONT)
            return host, time.monotonic()
        if loss.kind == "replace-planned":
            successor, started_s = self._replace(host), time.monotonic()
            time.sleep(loss.for_s)
            self._stop(host)
            group.retire(host)
            return successor, started_s
        if loss.kind == "replace-silent":
            group.signal(host, signal.SIGSTOP)
        elif loss.kind in ("stop", "replace-stopped"):
            self._stop(host)
        else:
            group.kill(host)
        if loss.kind == "wipe":
            group.wipe(host)
        time.sleep(loss.for_s)
        if loss.kind.startswith("replace"):
            successor = self._replace(host)
            group.retire(host)
            return successor, time.monotonic()
        self.rewrite(host)
        group.start(host)
        return host, time.monotonic()

    def _replace(self, host):
        # Counts as lost before anyone can choose it.
        with self._lock:
            successor = self._fleet.add_control(host, self._seeds())
            self._lost.add(successor)
        return successor

    def _stop(self, host):
        try:
            self._control.stop(host)
        except control_group.Broken as exc:
            self.broken.append(str(exc))

    def _note(self, text):
        with self._lock, open(self._log, "a", encoding="utf-8") as file:
            file.write(f"{time.time():.3f} {text}\n")
