"""Entries and control replicas without endpoints and callers."""

import collections.abc
import contextlib
import pathlib

from tests.soak import callers, control_group, fleet, ledger, main

__all__ = ["start"]


@contextlib.contextmanager
def start(
    seed: int, folder: pathlib.Path, entries: int, controls: int
) -> collections.abc.Iterator[tuple[fleet.Fleet, callers.Operator, ledger.Ledger]]:
    """Start a fleet with a first configuration, and end it; raises Broken if that isn't taken."""
    book = ledger.Ledger()
    net, listing = main._take_net(seed, [])
    group = fleet.Fleet(folder, net, entries, controls, f"127.{net}.4.1:{main.PORT_LIST}")
    operator = callers.Operator(group.control_hosts, book, seed)
    try:
        group.start_all()
        if not operator.put_next(main.START_LIMIT_S):
            raise control_group.Broken("the first configuration was not acknowledged")
        group.settle()
        yield group, operator, book
    finally:
        group.stop_all()
        listing.close()
