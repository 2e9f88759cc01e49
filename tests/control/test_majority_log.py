"""A lost majority or leader is told once, then as a reminder; calm is not told."""

import collections
import json

import pytest

from oriolelock.consensus import messages
from oriolelock.control import majority, majority_log

GRACE_S = 3.0
OWN = messages.Replica("a", "i", False)


class Group:
    """Feeds a log with one assessment each half a second; collects events by second."""

    def __init__(self, voters="abcde"):
        self.membership = make_membership(voters)
        self.heard = set(voters) - {"a"}
        self.leader = "b"
        self.now = 1000.0
        self._leaderless_since_s = self.now
        self._heard_s = {}
        self._log = majority_log.MajorityLog("config", self.now, GRACE_S)

    def run(self, duration_s):
        """Return the events of the next ``duration_s`` seconds."""
        found = []
        end_s = self.now + duration_s
        while self.now < end_s:
            self.now += 0.5
            self._heard_s.update(dict.fromkeys(self.heard, self.now))
            if self.leader:
                self._leaderless_since_s = self.now
            contacts = majority.Contacts(self._heard_s, {}, 3.0, self.now)
            leaderless_s = self.now - self._leaderless_since_s
            assessed = majority.assess(self.membership, OWN, contacts, self.leader, leaderless_s)
            found += self._log.update(assessed, self.now)
        return found


def make_membership(voters, learners=""):
    replicas = [messages.Replica(name, "i", True) for name in voters]
    replicas += [messages.Replica(name, "i", False) for name in learners]
    return messages.Membership(tuple(replicas))


def names(found):
    return [event.name for event in found]


def test_nothing_is_told_in_calm():
    group = Group()
    assert group.run(600.0) == []


def test_short_election_is_not_told():
    group = Group()
    group.run(10.0)
    group.leader = ""
    assert group.run(2.5) == []
    group.leader = "c"
    assert group.run(10.0) == []


def test_lost_majority_is_told_once_and_then_in_reminders():
    """The log of the incident named no missing voter; one line a tick would hide all others."""
    group = Group()
    group.run(10.0)
    group.leader, group.heard = "", {"b"}
    found = group.run(60.0)
    assert names(found) == ["majority-lost"] + 5 * ["no-majority"]
    first, last = found[0], found[-1]
    assert first.is_warning and last.is_warning
    assert (first.fields["voters"], first.fields["reachable"], first.fields["needed"]) == (5, 2, 3)
    assert [row["name"] for row in first.fields["missing"]] == ["c", "d", "e"]
    assert all(row["silent_s"] > 50.0 for row in last.fields["missing"])
    assert last.fields["leaderless_s"] > 50.0 and last.fields["after_s"] > 45.0
    assert last.fields["remedy"] == "1 of c, d, e must return"
    assert "2 of 5 voters can be reached, 3 are needed; missing: c (silent for" in first.text


def test_return_of_the_majority_and_of_the_leader_are_told():
    group = Group()
    group.run(10.0)
    group.leader, group.heard = "", {"b"}
    group.run(20.0)
    group.heard = {"b", "c"}
    found = group.run(2.0)
    assert names(found) == ["majority-regained"]
    assert 14.0 < found[0].fields["after_s"] < 20.0
    group.leader = "c"
    found = group.run(30.0)
    assert names(found) == ["leader-found"]
    assert 21.0 < found[0].fields["after_s"] < 23.0


def test_lack_of_a_leader_beside_a_majority_is_told():
    """Elections that never end would look like a lost majority, or like nothing."""
    group = Group()
    group.run(10.0)
    group.leader = ""
    found = group.run(30.0)
    assert names(found) == 3 * ["no-leader"]
    assert found[0].fields["remedy"] == "the reachable voters have to elect a leader"
    assert found[0].fields["missing"] == []


def test_start_is_not_told_as_a_loss():
    """All replicas that start would first report the loss of a majority."""
    group = Group()
    group.leader, group.heard = "", set()
    assert group.run(GRACE_S - 0.5) == []
    group.leader, group.heard = "b", set("bcde")
    assert group.run(10.0) == []


def test_start_without_the_others_is_told():
    group = Group()
    group.leader, group.heard = "", set()
    found = group.run(5.0)
    assert names(found) == ["majority-lost"]
    assert "b (not heard since this replica started)" in found[0].text


def test_loss_that_comes_and_goes_is_bounded():
    """Connections that break and return each second would fill the log."""
    group = Group()
    group.run(10.0)
    group.leader = ""
    found = []
    for _ in range(60):
        group.heard = set("bcde") - group.heard
        found += group.run(1.0)
    # Whoever was heard within 3 s is still counted.
    assert collections.Counter(names(found)) == {"no-leader": 6}


def test_removal_and_admission_of_this_replica_are_told():
    group = Group()
    group.run(5.0)
    group.membership = make_membership("bcde")
    assert names(group.run(5.0)) == ["no-member"]
    group.membership = make_membership("bcde", "a")
    found = group.run(5.0)
    assert names(found) == ["member"] and found[0].fields["role"] == "learner"
    group.membership = make_membership("abcde")
    assert group.run(5.0) == []


def test_replica_that_is_not_admitted_tells_that_it_has_no_leader():
    """It knows no voters, so there is no majority that could have been lost."""
    group = Group("")
    group.leader = ""
    found = group.run(20.0)
    assert names(found) == 2 * ["no-leader"]
    assert found[0].fields["remedy"] == "a member has to admit this replica"


@pytest.mark.parametrize("count", [11, 60])
def test_lines_fit_the_log(count):
    """A longer line would be cut, and would be no JSON any more."""
    group = Group()
    voters = [f"10.10.10.{n}:7780" for n in range(100, 100 + count)]
    group.membership = make_membership(["a", *voters], [f"10.11.10.{n}:7780" for n in range(99)])
    group.leader, group.heard = "", set()
    (event,) = group.run(5.0)
    assert len(json.dumps(event.fields)) < 3500
