"""Endpoints that send without end must not fill the memory of an entry together."""

import pytest

from oriolelock.endpoints import connection, response_budget

MB = 1024 * 1024


def test_largest_responses_are_given_up_and_small_ones_are_not():
    budget = response_budget.ResponseBudget(100 * MB)
    held = {}
    for size in range(1, 60):
        for holder in range(4):
            if budget.resize(holder, size * MB):
                held[holder] = size * MB
    assert sum(held.values()) <= 100 * MB
    assert budget.resize(9, 5 * MB)
    assert not budget.resize(0, 60 * MB)
    budget.release(0)
    budget.release(1)
    assert budget.resize(2, 60 * MB)


def test_transfers_share_a_budget():
    budget = response_budget.ResponseBudget(10 * MB)
    parts = [connection.Transfer(budget=budget) for _ in range(4)]
    for _ in range(20):
        for part in parts:
            part.add_body(bytes(MB))
    assert sum(len(part.body) for part in parts) <= 10 * MB
    assert all(part.too_large for part in parts)


def transfer(budget, *headers):
    part = connection.Transfer(budget=budget)
    for line in (b"HTTP/1.1 200 OK\r\n", *headers, b"\r\n"):
        assert part.add_header(line) == len(line)
    return part


@pytest.mark.parametrize("header", [b"", b"Transfer-Encoding: chunked\r\n"])
@pytest.mark.parametrize("count", [8, 20, 60])
def test_a_response_of_known_size_is_complete_beside_any_number_of_endless_ones(header, count):
    """It was given up above an equal share, which each of many endless ones may stay below."""
    budget = response_budget.ResponseBudget(100 * MB)
    endless = [transfer(budget, *([header] if header else [])) for _ in range(count)]
    size = 20 * MB
    sound = transfer(budget, b"Content-Length: %d\r\n" % size)
    while sum(len(part.body) for part in endless) < 95 * MB:
        for part in endless:
            part.add_body(bytes(MB // 16))
    while len(sound.body) < size:
        assert sound.add_body(bytes(MB))


def test_responses_of_known_size_share_the_limit_as_others_do():
    budget = response_budget.ResponseBudget(10 * MB)
    parts = [transfer(budget, b"Content-Length: %d\r\n" % (9 * MB)) for _ in range(4)]
    for _ in range(9):
        for part in parts:
            if not part.too_large:
                part.add_body(bytes(MB))
    assert sum(len(part.body) for part in parts) <= 10 * MB


def test_all_together_stay_within_one_and_a_half_times_the_limit():
    """Endless ones that fall silent keep what they hold until their deadlines."""
    budget = response_budget.ResponseBudget(10 * MB)
    silent = [transfer(budget) for _ in range(10)]
    for part in silent:
        part.add_body(bytes(MB))
    known = [transfer(budget, b"Content-Length: %d\r\n" % (9 * MB)) for _ in range(4)]
    for _ in range(9):
        for part in known:
            if not part.too_large:
                part.add_body(bytes(MB // 4))
    assert sum(len(part.body) for part in (*silent, *known)) <= 15 * MB


def test_a_length_beside_an_encoding_is_no_known_size():
    budget = response_budget.ResponseBudget()
    encoded = transfer(budget, b"content-length: 9\r\n", b"transfer-encoding: chunked\r\n")
    assert not encoded.is_size_known
    assert transfer(budget, b"content-length: 9\r\n").is_size_known


def test_small_parts_of_a_body_take_no_more_memory_than_their_bytes():
    part = connection.Transfer(budget=response_budget.ResponseBudget())
    for _ in range(100_000):
        part.add_body(b"ab")
    assert part.body == b"ab" * 100_000
