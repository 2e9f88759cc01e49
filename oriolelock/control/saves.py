"""
oriolelock.control.saves
~~~~~~~~~~~~~~~~~~~~~~~~

    Several saves as one, so that a batch of events costs one sync.
"""

from oriolelock.consensus import outputs

__all__ = ["merge"]


def merge(items: list[outputs.Save]) -> outputs.Save:
    """Return one save with the effect of ``items``, carried out in order."""
    merged = items[0]
    for item in items[1:]:
        entries, truncate_from = merged.entries, merged.truncate_from
        if item.truncate_from:
            entries = tuple(e for e in entries if e.index < item.truncate_from)
            # Entries on disk from the lower of the two indexes on are obsolete.
            truncate_from = min(truncate_from or item.truncate_from, item.truncate_from)
        merged = outputs.Save(
            item.number, item.term, item.voted_for, truncate_from, entries + item.entries
        )
    return merged
