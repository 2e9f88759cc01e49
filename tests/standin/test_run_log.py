"""Guards against losing the record of a run when the process that ran it dies."""

from oriolelock.standin import run_log


def test_unfinished_run_shows_as_crashed_after_a_restart(tmp_path):
    path = tmp_path / "runs.jsonl"
    names = {"endpoint": "e", "key": "", "service": "s", "operation": "o", "digest": "d"}
    before = run_log.RunLog(str(path))
    before.end(before.start(request_id="1", **names), "complete")
    before.start(request_id="2", **names)
    with path.open("ab") as file:
        file.write(b'{"number": 3, "endpo')
    after = run_log.RunLog(str(path))
    assert [run["outcome"] for run in after.list_runs("e")] == ["complete", "crashed"]
    assert after.list_runs("other") == []
