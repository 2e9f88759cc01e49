"""
tests.consensus.load
~~~~~~~~~~~~~~~~~~~~

    A client that proposes commands all the time to the leader of a simulated cluster.
"""

from tests.consensus import driver

PROPOSE_INTERVAL_S = 0.2


class Load:
    """Advances the time of a cluster and knows when a command was committed last."""

    def __init__(self, cluster, commit_s):
        self._cluster = cluster
        self._commit_s = commit_s
        self._next_propose_s = 0.0
        self._last_index = 0
        self.last_commit_s = cluster.now

    def run_for(self, duration_s, **rates):
        for _ in range(round(duration_s / driver.STEP_S)):
            self.step(**rates)

    def step(self, **rates):
        cluster = self._cluster
        cluster.run(**rates)
        cluster.admit()
        if cluster.now >= self._next_propose_s and cluster.leader():
            self._next_propose_s = cluster.now + PROPOSE_INTERVAL_S
            cluster.propose(cluster.leader())
        while self._last_index + 1 in cluster.committed:
            self._last_index += 1
            if cluster.committed[self._last_index].kind == "command":
                self.last_commit_s = cluster.now

    def assert_serving(self):
        """Assert that there is a leader and that commands are committed in time."""
        assert self._cluster.leader(), "no leader"
        silence_s = self._cluster.now - self.last_commit_s
        assert silence_s <= self._commit_s, f"no commit for {silence_s:.1f} s"
