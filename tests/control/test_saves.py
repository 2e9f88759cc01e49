"""Guards against a merged save that stores different entries from the original saves."""

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.consensus import messages, outputs
from oriolelock.control import saves


def apply_save(log, save):
    if save.truncate_from:
        log = [entry for entry in log if entry.index < save.truncate_from]
    return log + list(save.entries)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 3)), min_size=1, max_size=6))
def test_merged_save_has_the_effect_of_the_original_saves(steps):
    stored = [messages.Entry(n, 1, "command", b"") for n in range(1, 5)]
    log, originals = list(stored), []
    for number, (removed, count) in enumerate(steps, start=1):
        truncate_from = len(log) + 1 - removed if 0 < removed < len(log) else 0
        last = truncate_from - 1 if truncate_from else len(log)
        entries = tuple(
            messages.Entry(last + n, number + 1, "command", b"") for n in range(1, count + 1)
        )
        originals.append(outputs.Save(number, number + 1, f"v{number}", truncate_from, entries))
        log = apply_save(log, originals[-1])
    merged = saves.merge(originals)
    assert apply_save(stored, merged) == log
    assert (merged.number, merged.term) == (originals[-1].number, originals[-1].term)
    assert merged.voted_for == originals[-1].voted_for
