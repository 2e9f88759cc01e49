"""
oriolelock.control.saves
~~~~~~~~~~~~~~~~~~~~~~~~

    Merges the saves of a batch of events, so that the batch needs one sync only.
"""

from oriolelock.consensus import outputs

__all__ = ["merge"]


def merge(ordered_saves: list[outputs.Save]) -> outputs.Save:
    """Return one save with the same effect as ``ordered_saves`` in order."""
    merged = ordered_saves[0]
    for save in ordered_saves[1:]:
        entries, truncate_from = merged.entries, merged.truncate_from
        if save.truncate_from:
            entries = tuple(e for e in entries if e.index < save.truncate_from)
            # Entries on disk from the lower of the two indexes onwards are obsolete.
            truncate_from = min(truncate_from or save.truncate_from, save.truncate_from)
        merged = outputs.Save(
            save.number, save.term, save.voted_for, truncate_from, entries + save.entries
        )
    return merged
