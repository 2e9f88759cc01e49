"""Guards against entries that count as silent while nobody could hear them."""

from oriolelock.control import silence
from oriolelock.distribution import messages, reports

MEMBERS = ("c1", "c2", "c3")
STEP_S = 0.5


class Listener:
    """The silence of entry e at replica c1, which follows unless told otherwise."""

    def __init__(self, relayed_by=None, members=MEMBERS):
        self.known, self.silence = reports.Reports(), silence.Silence("c1")
        self.relayed_by = relayed_by or {}
        self.members = members
        self.now = 100.0
        self.silence.record_confirmed(self.now, self.now)

    def hear(self, *names):
        rows = tuple(messages.StatusReport(name, 1, 1, "live", 0.0, 0) for name in names)
        self.known.take(messages.StatusBatch(rows), self.now, relay=False)

    def run(self, duration_s, heard=MEMBERS, is_leader=False, is_confirmed=True):
        """Return the seconds of silence after ``duration_s``."""
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            self.hear(*heard)
            if is_confirmed:
                self.silence.record_confirmed(self.now, self.now)
            self.silence.advance(
                ["e"], self.known, self.relayed_by, self.members, is_leader, self.now
            )
        return self.silence.seconds(self.now)["e"]


def test_follower_counts_before_it_leads():
    """Otherwise leaders that are lost within seconds never find that an entry is gone."""
    listener = Listener({"e": "c2"})
    listener.hear("e")
    assert listener.run(2.0) == 2.0
    assert listener.run(1.5, is_leader=True) == 3.5


def test_time_without_a_leader_does_not_count():
    """Entries find no parent meanwhile, however long the election takes."""
    listener = Listener({"e": "c2"})
    listener.hear("e")
    assert listener.run(1.0) == 1.0
    assert listener.run(9.0, is_confirmed=False) <= 1.0 + silence.MAX_GAP_S
    assert listener.run(1.0, is_leader=True) <= 2.0


def test_pause_of_this_replica_does_not_count():
    listener = Listener({"e": "c2"})
    listener.hear("e")
    assert listener.run(1.0) == 1.0
    listener.now += 20.0
    assert listener.run(1.0, is_leader=True) <= 2.0


def test_entries_of_a_replica_that_is_not_heard_are_not_judged_by_a_follower():
    """The link to this replica may be cut, while its entries are well."""
    listener = Listener({"e": "c2"})
    listener.hear("c2", "e")
    assert listener.run(20.0, heard=("c3",)) <= silence.REPLICA_SILENT_S
    assert listener.run(2.0, heard=("c3",), is_leader=True) >= 2.0


def test_entry_of_a_replica_that_was_removed_counts_as_silent():
    """Its replica is gone for good, and it has had the time to find another."""
    listener = Listener({"e": "c9"})
    listener.hear("e")
    assert listener.run(3.5) == 3.5


def test_entry_never_heard_of_counts_once_all_replicas_are_heard():
    """A replica that was admitted a moment ago gets no reports of others at first."""
    listener = Listener()
    assert listener.run(20.0, heard=("c2",)) == 0.0
    assert listener.run(2.0, heard=MEMBERS) == 2.0


def test_report_ends_silence_and_one_that_came_late_says_little():
    listener = Listener({"e": "c2"})
    listener.hear("e")
    assert listener.run(2.5) == 2.5
    late = messages.StatusReport("e", 1, 1, "live", 0.0, 0, age_s=1.0)
    listener.known.take(messages.StatusBatch((late,)), listener.now, relay=False)
    listener.hear("e")
    assert listener.run(0.5) == 0.5
    listener = Listener({"e": "c2"})
    old = messages.StatusReport("e", 1, 1, "live", 0.0, 0, age_s=60.0)
    listener.known.take(messages.StatusBatch((old,)), listener.now, relay=False)
    assert listener.run(0.5) <= silence.MAX_GAP_S


def test_leader_that_started_a_moment_ago_takes_over_what_others_counted():
    listener = Listener()
    listener.silence.take_over([("e", 2.5), ("other", 9.0)])
    assert listener.run(0.5, is_leader=True) == 2.5
    assert listener.run(1.0, is_leader=True) == 3.5


def test_what_others_counted_says_nothing_of_an_entry_that_was_heard():
    """It may have reported to this replica only, or since they counted."""
    listener = Listener({"e": "c2"})
    listener.hear("e")
    listener.silence.take_over([("e", 9.0)])
    assert listener.run(0.5, is_leader=True) == 0.5
    listener = Listener()
    listener.silence.take_over([("e", 9.0)])
    assert listener.run(0.5, is_leader=True) == 9.0
    listener.hear("e")
    assert listener.run(0.5, is_leader=True) == 0.5


def test_time_that_others_counted_does_not_count_again():
    """Their latest confirmed read may be later than that of this replica."""
    listener = Listener()
    listener.run(0.5, is_leader=True)
    listener.silence.take_over([("e", 2.5)])
    assert listener.run(0.5, is_leader=True, is_confirmed=False) == 2.5
    assert listener.run(0.5, is_leader=True) == 3.0


def test_replicas_that_tell_each_other_count_no_time_without_a_leader():
    """Entries find no parent meanwhile, and a leader that starts would set them down."""
    listeners = Listener(), Listener()
    listeners[0].silence.take_over([("e", 2.1)])
    for _ in range(20):
        for number, listener in enumerate(listeners):
            listener.run(0.5, is_confirmed=False)
            told = listener.silence.counted_seconds()
            listeners[1 - number].silence.take_over(told.items())
    for listener in listeners:
        assert listener.silence.counted_seconds()["e"] <= 2.1


def test_replica_tells_only_of_entries_that_it_could_hear():
    listener = Listener({"e": "c2"})
    listener.hear("c2", "e")
    listener.run(1.0)
    assert listener.silence.counted_seconds() == {"e": 1.0}
    listener.run(3.0, heard=("c3",))
    assert listener.silence.counted_seconds() == {}


def test_confirmations_that_arrive_late_do_not_count_time_again():
    listener = Listener({"e": "c2"})
    listener.hear("e")
    assert listener.run(1.0) == 1.0
    listener.silence.record_confirmed(listener.now - 0.7, listener.now)
    assert listener.run(0.5) == 1.5
