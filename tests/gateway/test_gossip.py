"""Entries tell each other what answers have told of endpoints."""

import random
import socket
import time

import pytest

from oriolelock.dispatch import endpoint_view, observation
from oriolelock.gateway import gossip

FOUND = [
    observation.Observation(7, 0, endpoint_view.Load(1, 2, 3)),
    observation.Observation(4_000_000_000, 9, None),
]


def test_what_is_encoded_is_read_back():
    assert gossip.decode(gossip.encode(FOUND, "token"), "token") == FOUND


def test_a_full_datagram_stays_below_the_usual_mtu():
    largest = observation.Observation(2**32 - 1, 2**32 - 1, endpoint_view.Load(255, 255, 255))
    data = gossip.encode([largest] * gossip.MAX_IN_DATAGRAM, "token")
    assert len(data) <= gossip.MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"short",
        gossip.encode(FOUND, "another token"),
        gossip.encode(FOUND, "token")[:-1],
        b"\0" * 2000,
    ],
)
def test_what_is_not_from_the_cluster_is_refused(data):
    with pytest.raises(gossip.Unreadable):
        gossip.decode(data, "token")


@pytest.mark.parametrize("row", [(1,), ("x", 1), (1, -1), (1, 2, 3), (1, 2, 3, 4, 5, 6)])
def test_a_signed_datagram_of_another_form_is_refused(monkeypatch, row):
    payload = gossip.cbor2.dumps((gossip.FORMAT, [row]))
    with pytest.raises(gossip.Unreadable):
        gossip.decode(gossip._tag(payload, "token") + payload, "token")


def make_pair(running):
    heard = {"a": [], "b": []}
    found = {
        name: running.call(
            lambda name=name: gossip.Gossip(
                running.loop, ("127.0.0.1", 0), "token", heard[name].append, random.Random(1)
            )
        )
        for name in heard
    }
    return found, heard


def wait_for(condition):
    end_s = time.monotonic() + 5.0
    while not condition() and time.monotonic() < end_s:
        time.sleep(0.01)
    assert condition()


def test_entries_hear_of_each_others_answers(running):
    found, heard = make_pair(running)
    address = found["b"]._sock.getsockname()
    running.call(lambda: found["a"].use_peers([address]))
    running.call(lambda: found["a"].tell(FOUND[0]))
    wait_for(lambda: heard["b"] == [FOUND[0]])
    assert heard["a"] == []


def test_bytes_of_strangers_are_counted_and_harm_nobody(running):
    found, heard = make_pair(running)
    address = found["b"]._sock.getsockname()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(b"hello", address)
        sock.sendto(gossip.encode(FOUND, "token"), address)
    wait_for(lambda: heard["b"] == FOUND)
    assert found["b"].unreadable == 1
