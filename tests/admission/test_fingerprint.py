"""Which requests count as the same, and as alike."""

import pytest

from oriolelock.admission import fingerprint

NAMES = ("s", "op", "GET", "/p")
HEADERS = ((b"caller", b"c1"), (b"x-key", b"k"))


def make(names=NAMES, body=b"body", query=b"q=1", headers=HEADERS):
    return fingerprint.make(names, body, query, headers)


def common_levels(left, right):
    """Return which levels two requests share, the narrowest first."""
    pairs = zip(fingerprint.levels(left), fingerprint.levels(right), strict=True)
    return [a == b for a, b in pairs]


def test_fingerprint_covers_all_parts_and_their_boundaries():
    reference = make(("s", "op", "/p"))
    others = [
        make(("so", "p", "/p")),
        make(("s", "op", "/pb"), b"ody"),
        make(("s", "op", "/p"), b"bodz"),
        make(("s", "op", "/p"), query=b"q=2"),
        make(("s", "op", "/p"), headers=((b"caller", b"c1x-key"), (b"", b"k"))),
    ]
    assert reference not in others


@pytest.mark.parametrize(
    ("change", "shared"),
    [
        ({}, [True, True, True, True]),
        ({"headers": HEADERS[::-1]}, [True, True, True, True]),
        ({"headers": ((b"caller", b"c2"),)}, [False, True, False, True]),
        ({"headers": ()}, [False, True, False, True]),
        ({"query": b"q=2"}, [False, False, True, True]),
        ({"query": b""}, [False, False, True, True]),
        ({"query": b"q=2", "headers": ()}, [False, False, False, True]),
        ({"body": b"other"}, [False] * 4),
        ({"names": ("s", "op", "POST", "/p")}, [False] * 4),
        ({"names": ("s", "op", "GET", "/p2")}, [False] * 4),
    ],
)
def test_levels_leave_out_the_query_and_the_headers(change, shared):
    assert common_levels(make(), make(**change)) == shared
    assert [lvl in fingerprint.levels(make(**change)) for lvl in fingerprint.levels(make())] == (
        shared
    )


def test_fingerprints_of_older_builds_have_one_level():
    assert fingerprint.levels("f") == ("f",)
    assert fingerprint.levels("f") == ("f",)
