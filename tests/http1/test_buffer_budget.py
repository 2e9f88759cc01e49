"""Which response is given up when all together are too large."""

import pytest

from oriolelock.http1 import buffer_budget

MAX_BYTES = 1000


def given_up(responses):
    """Return the names of the responses that are given up, of ``(name, size, is_size_known)``."""
    budget, names = buffer_budget.BufferBudget(MAX_BYTES), []

    def add(name, size, is_size_known):
        def give_up():
            names.append(name)
            budget.release(name)

        budget.add(name, size, give_up, is_size_known)

    for response in responses:
        add(*response)
    return names


def test_nothing_is_given_up_within_the_limit():
    assert given_up([("a", 500, True), ("b", 500, False)]) == []


def test_the_largest_of_a_kind_is_given_up():
    assert given_up([("a", 400, True), ("b", 500, True), ("c", 200, True)]) == ["b"]
    assert given_up([("a", 400, False), ("b", 500, False), ("c", 200, False)]) == ["b"]


def test_an_unknown_size_is_given_up_before_a_larger_known_one_while_most_is_unknown():
    assert given_up([("known", 400, True), ("a", 300, False), ("b", 301, False)]) == ["b"]


def test_the_largest_is_given_up_while_most_has_a_known_size():
    responses = [("a", 300, True), ("b", 300, True), ("c", 401, False)]
    assert given_up(responses) == ["c"]


def test_a_small_response_of_unknown_size_is_kept_beside_a_much_larger_one():
    assert given_up([("known", 900, True), ("unknown", 101, False)]) == ["known"]


@pytest.mark.parametrize("count", range(2, 30))
def test_a_response_of_known_size_is_kept_beside_any_number_of_endless_ones(count):
    """Its size is an eighth of the limit; the endless ones grow at the same rate."""
    budget, held = buffer_budget.BufferBudget(MAX_BYTES), {}

    def give_up(name):
        budget.release(name)
        held.pop(name)

    def add(name, size, is_size_known):
        held[name] = held.get(name, 0) + size
        budget.add(name, size, lambda: give_up(name), is_size_known)

    add("known", MAX_BYTES // 8, True)
    for step in range(MAX_BYTES // count + 2):
        for name in range(count):
            if name in held or not step:
                add(name, 1, False)
    assert "known" in held
