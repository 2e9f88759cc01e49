"""Guards against messages that change in transit and malformed messages that are accepted."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.wire import codec, errors, hello


def test_message_survives_round_trip():
    msg = hello.Hello(1, "c", "t", "a", "entry", "i")
    assert codec.decode(codec.encode(msg)) == msg


@pytest.mark.parametrize(
    "plain",
    [
        42,
        [],
        ["no-such-message"],
        ["hello", 1],
        ["hello", "one", "c", "t", "a", "entry", "i"],
        ["hello", 1, "c", None, "a", "entry", "i"],
    ],
)
def test_malformed_message_raises_decode_error(plain):
    with pytest.raises(errors.DecodeError):
        codec.decode(cbor2.dumps(plain))


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(st.binary(max_size=200))
def test_random_bytes_raise_only_decode_error(data):
    try:
        codec.decode(data)
    except errors.DecodeError:
        pass
