"""
oriolelock.control.joiner
~~~~~~~~~~~~~~~~~~~~~~~~~

    Requests admission to the group ``config`` while this replica knows no leader or is no voter,
    and keeps the replica registered in the configuration.

    New replicas, replicas that lost their disk and replicas that were removed while partitioned
    all join this way. The leader adds them as learners and promotes those that have caught up. A
    learner may have been removed without hearing of it, so it repeats the request until it votes.
"""

import threading

from oriolelock import clock, logs
from oriolelock.control import messages, registration, replica
from oriolelock.settings import control as settings

__all__ = ["Joiner"]

ROUND_INTERVAL_S = 0.3
# Unused links to replicas that are not members are closed once per this many rounds. Those to seeds
# are made again when the next request goes to them.
ROUNDS_PER_LINK_CLEANUP = 10

log = logs.get_logger("control.join")


class Joiner:
    """Sends join requests from a thread of its own."""

    def __init__(self, cfg: settings.ControlSettings, rep: replica.Replica):
        self._cfg = cfg
        self._replica = rep
        self._registration = registration.Registration(cfg, rep)
        self.use_seeds(cfg.seeds)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="joiner", daemon=True)

    def use_seeds(self, seeds: tuple[tuple[str, int], ...]) -> None:
        """Replace the seeds that join requests go to."""
        self._seeds = tuple(f"{host}:{port}" for host, port in seeds)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def _run(self):
        rounds = 0
        while not self._stopping.wait(ROUND_INTERVAL_S):
            rounds += 1
            try:
                self._run_round(rounds)
                self._registration.run_round()
            except Exception:
                log.exception("Join round failed.")

    def _run_round(self, rounds):
        status = self._replica.status()
        if not (status.leader and status.voter):
            self._request_admission()
        if rounds % ROUNDS_PER_LINK_CLEANUP == 0:
            self._replica.drop_unused_links(clock.monotonic_s())

    def _request_admission(self):
        location = (self._cfg.region, self._cfg.failure_domain)
        msg = messages.Join(self._cfg.name, self._replica.incarnation, *location)
        for name in {*self._seeds, *self._replica.member_names()} - {self._cfg.name}:
            self._replica.send(name, msg)
