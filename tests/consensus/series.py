"""
tests.consensus.series
~~~~~~~~~~~~~~~~~~~~~~

    Random series of losses and replacements, inside what a group tolerates.

    ``python -m tests.consensus.series --help`` runs many of them by hand.
"""

import argparse
import dataclasses
import heapq
import itertools
import random

from oriolelock.consensus import quorum
from tests.consensus import driver, faults, load, simulated

START_S = 4.0
COMMIT_S = 4.0
CALM_S = 30.0
HEAL_S = 120.0
LOG_CHECK_INTERVAL_S = 40.0


@dataclasses.dataclass(frozen=True)
class Case:
    """A random series; the losses of a ``staggered`` one begin independently of one another.

    ``rates`` are those of ``driver.Cluster.run``. Where messages are lost or delayed, only safety
    and recovery are asserted. ``knows_links``: see ``driver.Cluster``.
    """

    size: int
    seed: int
    rounds: int = 10
    staggered: bool = False
    rates: tuple[tuple[str, float], ...] = ()
    snapshot_every: int = 0
    knows_links: bool = True
    kinds: tuple[str, ...] = ()

    @property
    def tolerance(self):
        """How many replicas may be lost at the same time."""
        return 1 if self.size <= 5 else 2

    @property
    def catch_up_s(self):
        """For how long a replica counts as lost after it is back or its successor started."""
        return 4.0 if self.tolerance == 1 else 6.0

    @property
    def is_lossy(self):
        return any(value for name, value in self.rates if name != "sync")

    @property
    def kinds_in_use(self):
        return self.kinds or tuple(
            name for name, fault in faults.KINDS.items() if not (self.staggered and fault.alone)
        )


class Series:
    """Runs chains of faults, each a generator that yields how long it waits, in seconds."""

    def __init__(self, case):
        self.case = case
        self.rng = random.Random(f"faults-{case.seed}")
        settings = simulated.GroupSettings(
            election_min_s=1.0, election_max_s=2.0, min_voters=max(3, 2 * case.tolerance + 1)
        )
        self.cluster = driver.Cluster(case.size, case.seed, settings)
        self.cluster.knows_links = case.knows_links
        self.client = load.Load(self.cluster, COMMIT_S)
        # Names of replicas that count as lost, and when the ones that are gone were removed.
        self.lost, self.gone = set(), {}
        self.trace = []
        self.rates = dict(case.rates)
        # Whether more is lost than the group tolerates, so that no commit is expected.
        self.is_excused = False
        self.most_members = case.size
        # How long each successor took to become a voter.
        self.seated_s = []
        # When a replica that was replaced as planned should be no voter any more.
        self.settled_s = 0.0
        # Until then there may be no leader, as it has handed over.
        self.handed_over_s = 0.0
        self._names = itertools.count()
        self._log_check_s = 0.0

    def note(self, text):
        self.trace.append(f"{self.cluster.now:7.1f} {text}; {describe(self.cluster)}")

    def run(self):
        """Run the series and the calm after it; a failure tells what happened before."""
        try:
            self._wait(START_S)
            self._run_chains()
            self.rates = {}
            self._wait(CALM_S)
            self._check_recovered()
        except (AssertionError, ValueError) as exc:
            self.note("failed")
            exc.add_note("\n".join([str(self.case), *self.trace[-40:]]))
            raise

    def _run_chains(self):
        count = self.case.tolerance if self.case.staggered else 1
        waiting = [(self.cluster.now, number, self._chain()) for number in range(count)]
        while waiting:
            while waiting and waiting[0][0] <= self.cluster.now:
                _, number, chain = heapq.heappop(waiting)
                delay_s = next(chain, None)
                if delay_s is not None:
                    heapq.heappush(waiting, (self.cluster.now + delay_s, number, chain))
            self._step()

    def _chain(self):
        for _ in range(self.case.rounds):
            kind = self.rng.choice(self.case.kinds_in_use)
            fault = faults.KINDS[kind]
            if fault.alone or self.case.size == 3:
                # After a planned replacement, a voter that is gone is one of an even number.
                yield max(0.0, self.settled_s - self.cluster.now)
            yield from fault.run(self)
            yield from self._heal()
            yield self.rng.choice([0.0, 0.0, self.rng.uniform(0.0, 3.0)])

    def _heal(self):
        """Wait for lost messages: catching up and electing take as long as the network decides."""
        if self.case.is_lossy:
            limit_s = self.cluster.now + HEAL_S
            while not self._is_healed():
                assert self.cluster.now < limit_s, "not healed in time"
                yield driver.STEP_S

    def _is_healed(self):
        if not self.cluster.leader():
            return False
        expected = {item for item in living(self.cluster) if item[0] not in self.lost}
        found = set(voters(self.cluster))
        return expected <= found and len(found - set(living(self.cluster))) <= len(self.lost)

    def _wait(self, duration_s):
        for _ in range(round(duration_s / driver.STEP_S)):
            self._step()

    def _step(self):
        cluster = self.cluster
        self.client.step(**self.rates)
        for name, replica in cluster.replicas.items():
            behind = replica.applied - replica.disk.snapshot_index
            if replica.running and 0 < self.case.snapshot_every <= behind:
                cluster.snapshot(name)
        if cluster.now >= self._log_check_s:
            self._log_check_s = cluster.now + LOG_CHECK_INTERVAL_S
            cluster.check_log_matching()
        if cluster.leader():
            self.most_members = max(self.most_members, len(members(cluster)))
            for member in members(cluster):
                if member.voter and member.incarnation in cluster.started_s:
                    started_s = cluster.started_s.pop(member.incarnation)
                    self.seated_s.append(cluster.now - started_s)
        if not self.case.is_lossy and not self.is_excused:
            silence_s = cluster.now - self.client.last_commit_s
            assert silence_s <= self._commit_limit_s(), f"no commit for {silence_s:.1f} s"

    def _commit_limit_s(self):
        """Return the limit for one leader that is lost, or for several in turn."""
        leaders_lost = self.case.tolerance if self.case.staggered else 1
        is_settled = self.cluster.now > self.settled_s + COMMIT_S
        return COMMIT_S * (leaders_lost if is_settled else leaders_lost + 1)

    def check_serving(self):
        """Assert that there is a leader, unless one is lost, was replaced or handed over."""
        is_settled = self.cluster.now > max(self.settled_s, self.handed_over_s)
        if not self.case.is_lossy and not self.lost and is_settled:
            self.client.assert_serving()

    def check_voter(self, name):
        """Assert that a replica that kept its disk is a voter again."""
        if not self.case.is_lossy and not self.case.staggered:
            replica = self.cluster.replicas[name]
            assert self.cluster.leader(), "no leader"
            assert (name, replica.incarnation) in voters(self.cluster), f"{name} is no voter"

    def _check_recovered(self):
        self.client.assert_serving()
        assert voters(self.cluster) == living(self.cluster)
        assert len(members(self.cluster)) == self.case.size
        last_index = max(self.cluster.committed)
        assert min(replica.applied for replica in self.cluster.replicas.values()) > last_index - 20

    def new_name(self, reuse_after_s):
        """Return a new name, or one that was given up long enough ago."""
        free = [
            name
            for name, gone_s in self.gone.items()
            if self.cluster.now - gone_s >= reuse_after_s and name not in self.cluster.replicas
        ]
        if free and self.rng.random() < 0.3:
            name = self.rng.choice(free)
            del self.gone[name]
            return name
        return f"m{next(self._names)}"


def members(cluster):
    """Return the voters and learners in the membership of the leader."""
    return cluster.replicas[cluster.leader()].node.membership.replicas


def voters(cluster):
    """Return names and incarnations of the voters in the membership of the leader."""
    return sorted(
        (replica.name, replica.incarnation) for replica in members(cluster) if replica.voter
    )


def living(cluster):
    return sorted((replica.name, replica.incarnation) for replica in cluster.replicas.values())


def describe(cluster):
    """Return the leader, its term and its members, with + for voters and ! for lost ones."""
    if not cluster.leader():
        states = [
            f"{name}:{replica.node.role.value}/{replica.node.term}"
            f"{'' if replica.running else '(off)'}/{len(quorum.voters(replica.node.membership))}"
            for name, replica in cluster.replicas.items()
        ]
        return "no leader: " + " ".join(states)
    leader = cluster.replicas[cluster.leader()]
    states = []
    for member in members(cluster):
        replica = cluster.replicas.get(member.name)
        is_current = replica and replica.incarnation == member.incarnation and replica.running
        states.append(f"{'+' if member.voter else '-'}{member.name}{'' if is_current else '!'}")
    return f"{leader.name} leads term {leader.node.term}: {' '.join(states)}"


def case_of(size, seed, rounds=10):
    """Return the case of a seed, with messages lost in a third of them."""
    rng = random.Random(f"case-{size}-{seed}")
    rates = {"sync": rng.choice([1.0, 1.0, 0.3])}
    if rng.random() < 0.33:
        rates |= {name: rng.choice([0.0, 0.05, 0.2]) for name in ("loss", "duplication", "delay")}
    return Case(
        size,
        seed,
        rounds,
        staggered=size > 5 and rng.random() < 0.5,
        rates=tuple(rates.items()),
        snapshot_every=rng.choice([0, 30, 100]),
        knows_links=rng.random() < 0.75,
    )


def main():
    parser = argparse.ArgumentParser(description="Run random series and print those that fail.")
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 5, 11, 15])
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--traces", type=int, default=3)
    parser.add_argument("--kinds", nargs="*", default=[])
    options = parser.parse_args()
    failed, seated_s = 0, []
    for size in options.sizes:
        for seed in range(options.first, options.first + options.seeds):
            case = case_of(size, seed, options.rounds)
            series = Series(dataclasses.replace(case, kinds=tuple(options.kinds)))
            try:
                series.run()
                seated_s += [] if case.is_lossy else series.seated_s
            except (AssertionError, ValueError) as exc:
                failed += 1
                print(f"size {size} seed {seed} at {series.cluster.now:.1f} s: {exc}")
                if failed <= options.traces:
                    print("\n".join(exc.__notes__))
    print(f"{failed} failed of {len(options.sizes) * options.seeds}")
    if seated_s:
        parts = [sorted(seated_s)[int(part * (len(seated_s) - 1))] for part in (0.5, 0.9, 0.99, 1)]
        print("successors were voters after", " ".join(f"{part:.1f}" for part in parts), "s")


if __name__ == "__main__":
    main()
