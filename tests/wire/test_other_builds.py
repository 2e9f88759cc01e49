"""Messages and files of other builds: recorded ones of the landed revisions, and changed ones."""

import base64
import dataclasses
import importlib
import io
import json
import pathlib
import pkgutil
import tarfile

import pytest

import oriolelock
from oriolelock.consensus import messages
from oriolelock.gateway import gossip
from oriolelock.storage import store
from oriolelock.wire import codec, errors

RECORDED = sorted((pathlib.Path(__file__).parent / "recorded").glob("*.json"))
LEFT_OUT = ("__main__", ".bench", ".standin")

for _module in pkgutil.walk_packages(oriolelock.__path__, "oriolelock."):
    if not any(part in _module.name for part in LEFT_OUT):
        importlib.import_module(_module.name)


def recorded_messages():
    return [
        pytest.param(bytes.fromhex(data), id=f"{path.stem}-{name}")
        for path in RECORDED
        for name, data in json.loads(path.read_text())["messages"].items()
    ]


@pytest.mark.parametrize("data", recorded_messages())
def test_messages_of_landed_revisions_are_read(data):
    msg = codec.decode(data)
    again = codec.decode(codec.encode(msg))
    assert again == msg


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_datagrams_of_landed_revisions_are_read(path):
    for data in json.loads(path.read_text())["datagrams"].values():
        assert gossip.decode(bytes.fromhex(data), "token")


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_stores_of_landed_revisions_are_read(path, tmp_path):
    data = base64.b64decode(json.loads(path.read_text())["store"])
    with tarfile.open(fileobj=io.BytesIO(data)) as packed:
        packed.extractall(tmp_path, filter="data")
    opened = store.open(tmp_path, "config")
    loaded = opened.load()
    opened.close()
    assert (loaded.term, loaded.voted_for, loaded.snapshot) == (3, "c1/initial", b"state")
    assert (loaded.snapshot_index, [entry.index for entry in loaded.entries]) == (3, [4, 5, 6])
    assert [entry.term for entry in loaded.entries] == [2, 3, 3]
    for entry in loaded.entries:
        assert codec.decode(entry.data).payload.member.name == f"e{entry.index}"


@codec.register("test-older-part")
@dataclasses.dataclass(frozen=True)
class OlderPart:
    name: str


@codec.register("test-newer-part")
@dataclasses.dataclass(frozen=True)
class NewerPart:
    name: str
    weight: float = 1.0
    tags: tuple[str, ...] = ()


def renamed(msg, name):
    """Return the encoded message of a build that has another class under ``name``."""
    plain = codec.to_plain(msg)
    return codec.cbor2.dumps([name, *plain[1:]])


def test_fields_that_a_newer_build_has_added_are_ignored():
    data = renamed(NewerPart("a", 2.0, ("x",)), "test-older-part")
    assert codec.decode(data) == OlderPart("a")


def test_fields_that_an_older_build_does_not_send_take_their_defaults():
    assert codec.decode(renamed(OlderPart("a"), "test-newer-part")) == NewerPart("a")


def test_fields_without_a_default_must_be_there():
    with pytest.raises(errors.DecodeError):
        codec.decode(codec.cbor2.dumps(["test-newer-part"]))


def test_added_fields_of_nested_messages_are_ignored():
    """Guards against a change of one record that makes whole snapshots unreadable."""
    replica = codec.to_plain(messages.Replica("c1", "initial", True))
    data = codec.cbor2.dumps(["membership", [[*replica, "added", {"more": 1}]], [], "added"])
    assert codec.decode(data).replicas == (messages.Replica("c1", "initial", True),)


@pytest.mark.parametrize(
    ("version", "row"), [(gossip.NOTICES_FORMAT_VERSION, (7, 99)), (99, (1, 2, 3))]
)
def test_datagrams_of_a_newer_build_are_left_out_only(version, row):
    payload = gossip._authenticated((version, [row]), "token")
    with pytest.raises(gossip.Unreadable):
        gossip.decode(payload, "token")
