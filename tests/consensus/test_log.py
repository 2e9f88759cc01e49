"""A log that is bounded by number alone holds any number of bytes."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.consensus import log, messages


def make_entry(index, size):
    return messages.Entry(index, 1, "command", bytes(size))


def size_of(entries):
    return sum(len(entry.data) + log.ENTRY_OVERHEAD_BYTES for entry in entries)


def test_retained_entries_are_bounded_by_bytes_and_number():
    kept = log.Log(10, 1, [make_entry(n, 1000) for n in range(11, 111)])
    base = kept.retained_base(100, 1000, 20 * 1040)
    assert base == 80
    assert size_of(kept.between(base + 1, 100)) == 20 * 1040
    assert kept.retained_base(100, 5, 20 * 1040) == 95
    assert kept.retained_base(100, 1000, 10**9) == 10


@given(st.integers(0, 10**6))
@settings(max_examples=60)
def test_sizes_follow_all_changes_of_the_log(seed):
    rng = random.Random(seed)
    tested = log.Log(0, 0, ())
    for _ in range(40):
        match rng.randrange(6):
            case 0 if tested.last_index > tested.base_index:
                tested.truncate(rng.randint(tested.base_index + 1, tested.last_index))
            case 1:
                tested.compact(rng.randint(tested.base_index, tested.last_index))
            case 2 if rng.random() < 0.2:
                tested.reset(tested.last_index + rng.randint(0, 5), 2)
            case _:
                tested.append(make_entry(tested.last_index + 1, rng.randrange(200)))
        first, last = tested.base_index, tested.last_index
        for index in range(first, last + 1):
            assert tested.bytes_after(index) == size_of(tested.between(index + 1, last))
        limit = rng.randrange(2000)
        base = tested.retained_base(last, 1000, limit)
        retained = [size_of(tested.between(n + 1, last)) for n in range(first, last + 1)]
        assert base == first + next(n for n, size in enumerate(retained) if size <= limit)
