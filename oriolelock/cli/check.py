"""
oriolelock.cli.check
~~~~~~~~~~~~~~~~~~~~

    ``check FILE``: checks a settings, preset, blocks or deployment file.
"""

import argparse
import importlib

from oriolelock.cli import exit_codes, output
from oriolelock.settings import loader

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock check examples/swanport/presets/peak.yaml
oriolelock check /etc/oriolelock/entry.yaml"""
# A key that only this kind of file has -> (kind, module of oriolelock.settings). The first
# that fits counts.
KINDS = {
    "role": ("stand-in settings", "standin"),
    "regions": ("deployment", "deployment"),
    "services": ("preset", "preset"),
    "blocks": ("client blocks", "blocks"),
    "peers": ("control settings", "control"),
    "control": ("entry settings", "entry"),
}


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("file", metavar="FILE", help="a YAML file of any kind")


def _parse(top):
    keys = top.keys()
    for key, (kind, name) in KINDS.items():
        if key in keys:
            # ``keys`` marks them as read; the parser works on a node of its own, so that
            # unknown keys are still found.
            module = importlib.import_module(f"oriolelock.settings.{name}")
            own = top.child("", {item: top.fetch(item) for item in keys})
            module.parse(own)
            return kind
    allowed = "a file with one of the keys " + ", ".join(KINDS)
    raise top.fail("(top)", ", ".join(keys), allowed)


def run(args: argparse.Namespace) -> int:
    """Print the kind of the file when it is good; raises SettingsError otherwise."""
    kind = loader.load(args.file, _parse)
    if args.output == "json":
        output.show_json({"file": args.file, "kind": kind, "result": "good"})
    else:
        print(f"{args.file}: good ({kind})")
    return exit_codes.DONE
