"""What a replica tells of its group's majority, above all when there is none."""

import pytest

from oriolelock.consensus import messages
from oriolelock.control import majority

OWN = messages.Replica("a", "a1", False)


def make_membership(voters="abcde", learners=""):
    replicas = [messages.Replica(name, f"{name}1", True) for name in voters]
    replicas += [messages.Replica(name, f"{name}1", False) for name in learners]
    return messages.Membership(tuple(replicas))


def assess(membership, heard_s, incarnations=None, leader="", own=OWN):
    contacts = majority.Contacts(heard_s, incarnations or {}, 3.0, 100.0)
    return majority.assess(membership, own, contacts, leader, 0.0 if leader else 5.0)


def test_voters_that_were_not_heard_lately_are_missing():
    """A replica without a majority could not say who is gone, nor since when."""
    found = assess(make_membership(learners="x"), {"b": 99.0, "c": 90.0, "d": 96.9, "x": 99.0})
    assert (len(found.voters), found.reachable, found.needed) == (5, 2, 3)
    assert not found.has_majority
    missing = {member.name: member.silent_s for member in found.missing}
    assert missing == {"c": 10.0, "d": pytest.approx(3.1), "e": None}
    assert found.remedy == "1 of c, d, e must return"
    assert [member.name for member in found.learners] == ["x"]


def test_learners_do_not_count():
    """Learners that are reachable would hide that the voters are gone."""
    found = assess(make_membership("abc", "xyz"), dict.fromkeys("xyz", 100.0))
    assert (found.reachable, found.needed, found.has_majority) == (1, 2, False)
    assert found.remedy == "1 of b, c must return"


@pytest.mark.parametrize(
    ("voters", "heard", "has_majority"),
    [
        ("a", "", True),
        ("ab", "", False),
        ("ab", "b", True),
        ("abc", "b", True),
        # Half is not enough: the group of the incident stood with four of eight.
        ("abcdefgh", "bcd", False),
        ("abcdefgh", "bcde", True),
    ],
)
def test_more_than_half_of_the_voters_are_a_majority(voters, heard, has_majority):
    found = assess(make_membership(voters), dict.fromkeys(heard, 100.0))
    assert found.has_majority == has_majority


def test_leader_vouches_for_a_majority():
    """A follower that has just connected to the others would report a loss beside a leader."""
    found = assess(make_membership(), {}, leader="b")
    assert found.has_majority and found.reachable == 1 and found.remedy == ""


def test_voter_that_lost_its_data_is_gone_although_it_answers():
    """Three replicas of which two came back with empty disks would look complete."""
    heard_s = {"b": 100.0, "c": 100.0}
    found = assess(make_membership("abc"), heard_s, {"b": ("new", 99.0), "c": ("new", 99.0)})
    assert [member.name for member in found.missing if member.replaced] == ["b", "c"]
    assert not found.has_majority
    assert found.remedy == "none by itself: the data of b, c are gone"
    found = assess(make_membership("abc"), {"b": 100.0}, {"b": ("new", 99.0)})
    assert found.remedy == "1 of c must return"


def test_incarnation_of_earlier_messages_proves_nothing():
    """A voter that was repaired long ago would count as gone where its old messages are known."""
    found = assess(make_membership("abc"), {"b": 100.0}, {"b": ("old", 80.0)})
    assert found.has_majority and found.missing[0].name == "c"


@pytest.mark.parametrize(
    ("own", "role"),
    [("a", "voter"), ("x", "learner"), ("z", "no-member")],
)
def test_role_of_this_replica(own, role):
    found = assess(make_membership(learners="x"), {}, own=messages.Replica(own, f"{own}1", False))
    assert found.role == role
    assert found.reachable == (1 if role == "voter" else 0)


def test_replica_that_lost_its_own_data_is_no_member():
    """It would count itself among the voters, although its vote is not counted."""
    found = assess(make_membership("abc"), {"b": 100.0}, own=messages.Replica("a", "new", False))
    assert found.role == "no-member"
    assert (found.reachable, found.has_majority) == (1, False)
    assert [(m.name, m.replaced) for m in found.missing] == [("a", True), ("c", False)]


def test_replica_that_was_never_admitted_claims_no_majority():
    """No voter of none would count as all of them."""
    found = assess(messages.Membership(()), {"b": 100.0})
    assert (found.role, found.needed, found.has_majority) == ("no-member", 0, False)
    assert found.remedy == "a member has to admit this replica"


def test_json_has_all_that_an_operator_needs():
    found = majority.to_json(assess(make_membership("abc", "x"), {"b": 99.96, "c": 87.26}))
    assert found == {
        "role": "voter",
        "leader": "",
        "leaderless_s": 5.0,
        "has_majority": True,
        "voters": 3,
        "reachable": 2,
        "needed": 2,
        "remedy": "the reachable voters have to elect a leader",
        "members": [
            {"name": "a", "voter": True, "reachable": True, "silent_s": 0.0, "replaced": False},
            {"name": "b", "voter": True, "reachable": True, "silent_s": 0.0, "replaced": False},
            {"name": "c", "voter": True, "reachable": False, "silent_s": 12.7, "replaced": False},
            {"name": "x", "voter": False, "reachable": False, "silent_s": None, "replaced": False},
        ],
    }


@pytest.mark.parametrize(
    ("heard", "reachable", "needed", "remedy"),
    [
        ("b", 2, 2, ""),
        ("x", 1, 2, "1 of b, f must return"),
        ("f", 1, 2, "1 of b, x must return"),
        ("fx", 2, 2, ""),
    ],
)
def test_both_majorities_count_while_a_voter_is_replaced(heard, reachable, needed, remedy):
    """A replica would report a majority of the new voters while the old ones lack one."""
    plain = make_membership("abx", "f")
    old_voters = tuple(messages.Replica(name, f"{name}1", True) for name in "abf")
    membership = messages.Membership(plain.replicas, old_voters)
    found = assess(membership, dict.fromkeys(heard, 100.0))
    assert (found.reachable, found.needed, found.has_majority) == (reachable, needed, not remedy)
    if remedy:
        assert found.remedy == remedy
