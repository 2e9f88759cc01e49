"""Log lines never hold up the process and stay within their budget."""

import itertools
import json
import os

from oriolelock import events


def lines(fd):
    os.set_blocking(fd, False)
    data = b""
    try:
        while more := os.read(fd, 65536):
            data += more
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_a_pipe_that_nobody_reads_drops_lines_and_says_so():
    inward, outward = os.pipe()
    handler = events.LineHandler(outward)
    with handler.applicationbound():
        log = events.Events("t")
        for n in range(400):
            handler._room = events.BURST_LINES
            log.notable("full", number=n, text="x" * 190)
        dropped = handler.dropped
        assert dropped > 0
        seen = lines(inward)
        assert seen[0]["event"] == "full"
        log.notable("after")
    assert lines(inward)[-1]["dropped_before"] == dropped
    os.close(inward)
    os.close(outward)


def test_a_closed_pipe_does_not_end_the_process():
    inward, outward = os.pipe()
    handler = events.LineHandler(outward)
    os.close(inward)
    with handler.applicationbound():
        events.Events("t").notable("x")
    assert handler.dropped == 1
    os.close(outward)


def test_usual_lines_leave_room_for_others(monkeypatch):
    # Lines come ten times as fast as the budget allows, however slow the machine is.
    now_s = itertools.count(step=0.1 / events.LINES_PER_S)
    monkeypatch.setattr(events.clock, "monotonic_s", lambda: next(now_s))
    inward, outward = os.pipe()
    handler = events.LineHandler(outward)
    with handler.applicationbound():
        log = events.Events("t")
        for _ in range(2000):
            log.usual("usual")
            lines(inward)
        assert handler.dropped > 0
        log.notable("notable")
    assert [item["event"] for item in lines(inward)] == ["notable"]
    os.close(inward)
    os.close(outward)


def test_callers_bytes_are_escaped_and_cut():
    inward, outward = os.pipe()
    handler = events.LineHandler(outward)
    with handler.applicationbound():
        events.Events("t").notable("x", id='a"\n\x00' + "y" * 500)
    found = lines(inward)
    assert len(found) == 1
    assert found[0]["id"].startswith('a"\n\x00')
    assert len(found[0]["id"]) <= events.MAX_VALUE_CHARS + 3
    os.close(inward)
    os.close(outward)
