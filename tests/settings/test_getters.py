"""Guards against settings that are accepted although they can't be meant."""

import pytest

from oriolelock.settings import errors, getters, loader, node


def make(data):
    return node.Node("f.yaml", "", data)


def test_duration_needs_its_unit():
    assert getters.get_ms(make({"a": "2 s"}), "a") == 2000.0
    with pytest.raises(errors.SettingsError, match="f.yaml: a: found 5, allowed: .*ms, s"):
        getters.get_ms(make({"a": 5}), "a")


@pytest.mark.parametrize("value", ["1.2.3.4", "host:80", "1.2.3.400:5", "1.2.3.4:99999", 7])
def test_bad_address_is_refused(value):
    with pytest.raises(errors.SettingsError):
        getters.get_address(make({"a": value}), "a")


def test_unknown_key_is_refused_below_the_top(tmp_path):
    path = tmp_path / "s.yaml"
    path.write_text("outer: {known: 1, typo: 2}\n")
    with pytest.raises(errors.SettingsError, match="outer.typo: found 'unknown key'"):
        loader.load(str(path), lambda top: getters.get_int(getters.get_node(top, "outer"), "known"))


def test_bad_file_exits_with_one_line(tmp_path, capsys):
    with pytest.raises(SystemExit) as caught:
        loader.load_or_exit(str(tmp_path / "none.yaml"), lambda top: None)
    assert caught.value.code == 2
    assert capsys.readouterr().err.count("\n") == 1
