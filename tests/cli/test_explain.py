"""The timeline of one request across the logs of several processes."""

import json

from oriolelock import cmdline
from oriolelock.cli import explain

EVENTS = (
    ("a", {"t": 1.0, "part": "gateway", "event": "routes-in-force", "revision": 3}),
    ("b", {"t": 1.5, "part": "gateway", "event": "endpoint-out", "endpoint": "i-1"}),
    ("a", {"t": 2.0, "part": "gateway", "event": "endpoint-out", "endpoint": "i-2"}),
    ("a", {"t": 3.0, "part": "request", "event": "failed", "id": "x", "endpoint": "i-1"}),
    ("a", {"t": 3.5, "part": "request", "event": "complete", "id": "y", "endpoint": "i-1"}),
    ("a", {"t": 4.0, "part": "gateway", "event": "routes-in-force", "revision": 4}),
)


def write(tmp_path):
    for name in ("a", "b"):
        lines = [json.dumps(item) for log, item in EVENTS if log == name]
        (tmp_path / name).write_text("not a line\n" + "\n".join(lines) + "\n{cut")
    return [str(tmp_path / name) for name in ("a", "b")]


def test_timeline_has_what_was_believed_before_and_nothing_later(tmp_path):
    found = explain.timeline("x", write(tmp_path))
    assert [(item["event"], item.get("endpoint")) for item in found] == [
        ("routes-in-force", None),
        ("endpoint-out", "i-1"),
        ("failed", "i-1"),
    ]


def test_verb_prints_it_and_reports_unknown_ids(tmp_path, capsys):
    logs = write(tmp_path)
    assert cmdline.main(["explain", "x", *logs]) == 0
    assert "endpoint=i-1" in capsys.readouterr().out
    assert cmdline.main(["explain", "z", *logs]) == 2
    assert cmdline.main(["explain", "x", str(tmp_path / "gone")]) == 2
