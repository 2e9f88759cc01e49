"""Odd values don't make the rest of a text unreadable, nor reading it slow."""

import json
import time

import hypothesis
import pytest
from hypothesis import strategies as st

from oriolelock.wire import tolerant_json


@pytest.mark.parametrize("depth", [100, 900, 200_000])
def test_values_that_are_nested_too_deeply_are_left_out(depth):
    data = b'[1,{"a":' + b"[" * depth + b'"]"' + b"]" * depth + b',"b":2},3]'
    first, second, last = tolerant_json.loads(data)
    assert (first, second["b"], last) == (1, 2, 3)
    levels, value = 0, second["a"]
    while isinstance(value, list) and value:
        levels, value = levels + 1, value[0]
    assert levels < tolerant_json.MAX_DEPTH


def test_usual_nesting_and_brackets_in_strings_are_kept():
    data = b'{"a":[{"b":"]}[{"},"\\\\","\\"[" ],"c":[[[[1]]]]}'
    assert tolerant_json.loads(data) == {"a": [{"b": "]}[{"}, "\\", '"['], "c": [[[[1]]]]}


@pytest.mark.parametrize(
    "data", [b"", b"[", b"[1,", b'["a', b'["a\\', b"]", b"[1]]", b"[" * 200_000, b"[1 2]"]
)
def test_what_is_not_json_is_refused(data):
    with pytest.raises(ValueError, match="."):
        tolerant_json.loads(data)


@pytest.mark.parametrize("tail", [b'"' + b'\\"' * 400_000, b'\\"' * 400_000, b'"a' * 400_000])
def test_hostile_text_takes_linear_time(tail):
    """Guards against a search for the ends of strings that starts again at each quote."""
    start_s = time.thread_time()
    with pytest.raises(ValueError, match="."):
        tolerant_json.loads(b"[" * 5_000 + tail)
    assert time.thread_time() - start_s < 5.0


ROWS = [["svc", f"10.0.0.{n}:80", "z1", n, "ready", f"i-{n}"] for n in range(5)]


def as_table(rows):
    """Return the text of a page with encoded rows."""
    listed = b",".join(rows)
    return b'{"listed":{"names":["a","b"],"rows":[' + listed + b']},"next":"p"}'


def as_list(rows):
    return b"[" + b", ".join(rows) + b"]"


def encoded(rows):
    return [json.dumps(row).encode() for row in rows]


ODD = [
    b'["svc","10.0.0.9:80","z1",9,"ready","i-\x00\x8f\x1b"]',
    b'["svc","10.0.0.9:80","z1",9,"ready","i-\\q"]',
    b'["svc","10.0.0.9:80","z1",9,"ready","i-\\u12"]',
    b'["svc","10.0.0.9:80","z1",9,"ready","i-"9"]',
    b'["svc","10.0.0.9:80",z1,0x9,True,\'i-9\']',
    b'["svc","10.0.0.9:80",,9,"ready",]',
    b'["svc" "10.0.0.9:80"]',
    b'{"id":"i-9","slots":}',
    b'{id:"i-9"}',
    b"\x00\xff\xfe",
    b"<entry/>",
    b"nul",
    b'["svc",[[{"a":}]],"i-9"]',
]
UNBALANCED = [
    b'["svc","10.0.0.9:80"]]',
    b'["svc",["10.0.0.9:80"]',
    b'["svc",{"10.0.0.9:80"]',
    b'{"id":"i-9"',
    b'["svc","10.0.0.9:80","i-9',
]


@pytest.mark.parametrize("make_text", [as_table, as_list])
@pytest.mark.parametrize("position", [0, 2, 4])
@pytest.mark.parametrize("odd", ODD)
def test_one_odd_entry_leaves_the_others_readable(odd, position, make_text):
    """Guards against a list that one entry makes unreadable for as long as it stays."""
    rows = encoded(ROWS)
    rows.insert(position, odd)
    found = tolerant_json.loads(make_text(rows))
    if make_text is as_table:
        assert found["next"] == "p"
        found = found["listed"]["rows"]
    assert [row for row in found if row in ROWS] == ROWS


@pytest.mark.parametrize("make_text", [as_table, as_list])
@pytest.mark.parametrize("odd", UNBALANCED)
def test_an_entry_whose_brackets_do_not_match_leaves_the_others_readable(odd, make_text):
    rows = encoded(ROWS)
    rows.insert(2, odd)
    try:
        found = tolerant_json.loads(make_text(rows))
    except ValueError:
        # Then the previous list stays in use.
        assert odd != UNBALANCED[0]
        return
    found = found["listed"]["rows"] if make_text is as_table else found
    assert [row for row in found if row in ROWS] == ROWS


@hypothesis.settings(max_examples=500, derandomize=True, database=None)
@hypothesis.given(
    st.integers(0, 4),
    st.integers(0, 40),
    st.integers(0, 6),
    st.binary(max_size=6) | st.text('[]{},:"\\ab\n', max_size=6).map(str.encode),
    st.sampled_from([as_table, as_list]),
)
def test_bytes_of_one_entry_take_one_other_away_at_most(row, start, length, replacement, make_text):
    """Guards against a list that seems complete without entries that can't be told from gone.

    Only brackets that match across two entries can take the next one away.
    """
    rows = encoded(ROWS)
    # The brackets of the entry itself stay.
    start = 1 + start % (len(rows[row]) - 2)
    end = min(start + length, len(rows[row]) - 1)
    rows[row] = rows[row][:start] + replacement + rows[row][end:]
    try:
        found = tolerant_json.loads(make_text(rows))
    except ValueError:
        return
    found = found["listed"]["rows"] if make_text is as_table else found
    if found is tolerant_json.UNREADABLE:
        return
    others = [item for number, item in enumerate(ROWS) if number != row]
    kept = [item for item in found if item in others]
    lost = [item for item in others if item not in kept]
    has_brackets = any(byte in b"[]{}" for byte in replacement)
    assert not lost or (has_brackets and len(lost) == 1)
    assert kept == [item for item in others if item not in lost]


@pytest.mark.parametrize(
    "text",
    [
        b"[" + b'["a",\x01"],' * 100_000 + b"[1]]",
        b"[" + b'["a" "b"],' * 100_000 + b"[1]]",
        b"[" + b"[" * 60 + b'"a" "b"' + b"]" * 60 + b",1]" + b" " * 500_000,
        b'["' + b'" ' * 300_000 + b"]",
    ],
)
def test_odd_text_takes_linear_time(text):
    start_s = time.thread_time()
    try:
        tolerant_json.loads(text)
    except ValueError:
        pass
    assert time.thread_time() - start_s < 5.0


def test_an_element_that_another_one_has_taken_in_may_have_odd_values_itself():
    found = tolerant_json.loads(b'[["a"],{"b":[,["c",1e999],["d"]]')
    assert found[-2:] == [["c", tolerant_json.OUT_OF_RANGE], ["d"]]


@pytest.mark.parametrize(
    "text", [b'{"rows":[["a"],["b\x01"]', b'{"rows":[["a\\q"],["b"', b'[["a" 1],["b"]']
)
def test_a_text_that_was_cut_off_is_refused(text):
    """Guards against a page that seems complete."""
    with pytest.raises(ValueError, match="."):
        tolerant_json.loads(text)
