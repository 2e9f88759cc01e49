"""
oriolelock.control.joiner
~~~~~~~~~~~~~~~~~~~~~~~~~

    Asks to be admitted to the group ``config`` while this replica hears of no leader.

    A new replica, one that lost its disk, and one that was removed while it was cut off all
    come back this way. The leader admits them as learners and promotes those that caught up.
"""

import threading

from oriolelock import logs
from oriolelock.control import messages, replica
from oriolelock.settings import control as settings

__all__ = ["Joiner"]

ROUND_S = 0.3
# Links to replicas that left are closed once in so many rounds.
ROUNDS_PER_CLEANING = 100

log = logs.get_logger("control.join")


class Joiner:
    """Owns a thread."""

    def __init__(self, cfg: settings.ControlSettings, rep: replica.Replica):
        self._cfg = cfg
        self._replica = rep
        self.use_seeds(cfg.seeds)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="joiner", daemon=True)

    def use_seeds(self, seeds: tuple[tuple[str, int], ...]) -> None:
        """Ask other replicas from now on."""
        self._seeds = tuple(f"{host}:{port}" for host, port in seeds)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()

    def _run(self):
        rounds = 0
        while not self._stopping.wait(ROUND_S):
            rounds += 1
            try:
                self._round(rounds)
            except Exception:
                log.exception("A round failed.")

    def _round(self, rounds):
        status = self._replica.status()
        if not status.leader:
            place = (self._cfg.region, self._cfg.failure_domain)
            msg = messages.Join(self._cfg.name, self._replica.incarnation, *place)
            for name in {*self._seeds, *self._replica.member_names()} - {self._cfg.name}:
                self._replica.send(name, msg)
        elif rounds % ROUNDS_PER_CLEANING == 0:
            self._replica.drop_links({*self._seeds, *self._replica.member_names()})
