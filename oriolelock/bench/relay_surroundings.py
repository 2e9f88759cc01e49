"""
oriolelock.bench.relay_surroundings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What surrounds one relay, in a process of its own: control above it and entries below it,
    so that the processor time of the relay's process is that of the relay.
"""

import multiprocessing

from oriolelock.bench import control_stand_in, relay_node, sample, waiting
from oriolelock.lookup import packing

__all__ = ["Surroundings"]

CALL_TIMEOUT_S = 30.0


def _split(address):
    host, port = address.split(":")
    return host, int(port)


def _pack(blocks):
    sites = 3600
    found = sample.make_blocks(blocks, sites)
    return packing.update(b"", found, sample.make_regions(sites)) if blocks else b""


class _Worker:
    def __init__(self, control, relay, members, endpoints, blocks):
        self._relay = _split(relay)
        self._control = control_stand_in.ControlStandIn(
            _split(control), sample.make_configuration(members, endpoints, _pack(blocks))
        )
        self._children: list[relay_node.RelayNode] = []

    def connect(self, children, below):
        """Connect ``children``, which report for ``below`` more entries together."""
        for n in range(children):
            extra = [f"entry-{1000 + m:05d}" for m in range(n, below, children)]
            self._children.append(relay_node.RelayNode(f"entry-{n:05d}", self._relay, None, extra))
        for child in self._children:
            child.start()
        waiting.until(
            lambda: all(c.uplink.is_ready for c in self._children)
            and self._control.known() >= children + below,
            CALL_TIMEOUT_S,
            "reports of all entries",
        )

    def disconnect(self):
        """Disconnect all children."""
        for child in self._children:
            child.stop()
        self._children.clear()

    def change(self, count):
        """Publish ``count`` changes of members and wait until all children have them."""
        for n in range(count):
            index = self._control.change(sample.make_member_change(n))
        waiting.until(
            lambda: all(c.uplink.configuration.index >= index for c in self._children),
            CALL_TIMEOUT_S,
            "changes at all entries",
        )

    def traffic(self):
        """Return bytes and messages that the children have received and sent."""
        pairs = [(*c.uplink.traffic(), *c.uplink.messages()) for c in self._children]
        return [sum(column) for column in zip(*pairs, strict=True)]

    def oldest(self):
        """Return the greatest age of any report since the last call."""
        return max(self._control.oldest().values(), default=0.0)


def _work(pipe, *args):
    worker = _Worker(*args)
    while True:
        try:
            name, given = pipe.recv()
        except EOFError:
            return
        try:
            pipe.send((True, getattr(worker, name)(*given)))
        except Exception as exc:
            pipe.send((False, repr(exc)))


class Surroundings:
    """Runs control at ``control`` and the children of the relay at ``relay``."""

    def __init__(self, control: str, relay: str, members: int, endpoints: int = 0, blocks: int = 0):
        context = multiprocessing.get_context("spawn")
        self._pipe, theirs = context.Pipe()
        self._process = context.Process(
            target=_work, args=(theirs, control, relay, members, endpoints, blocks), daemon=True
        )
        self._process.start()
        theirs.close()

    def call(self, name: str, *given: object) -> object:
        """Call a method of the worker; raises RuntimeError when it fails."""
        self._pipe.send((name, given))
        is_done, value = self._pipe.recv()
        if not is_done:
            raise RuntimeError(value)
        return value

    def close(self) -> None:
        """End the process."""
        self._pipe.close()
        self._process.join(CALL_TIMEOUT_S)
