"""Keys that callers choose must not make tables that are bounded by number large."""

from oriolelock.gateway import forwarded


def test_short_keys_are_scoped_to_their_route():
    assert forwarded.object_key("/a/", b"17") == "/a/17"
    assert forwarded.object_key("/a/", b"") == forwarded.object_key("/a/", None) == ""


def test_long_keys_are_digests():
    keys = {
        forwarded.object_key(prefix, b"x" * 16_000) for prefix in ("/a/", "/b/", "/" + "c" * 99)
    }
    assert len(keys) == 3
    assert all(len(key) <= forwarded.MAX_KEY_BYTES for key in keys)
    assert forwarded.object_key("/a/", b"\xff" * 80) != forwarded.object_key("/a/", b"\xfe" * 80)
