"""
oriolelock.cmdline
~~~~~~~~~~~~~~~~~~

    The operators' command line. Verbs are found in ``cli.verbs`` and loaded when used.
"""

import argparse
import sys

from oriolelock.cli import errors, exit_codes, verbs
from oriolelock.settings import errors as settings_errors
from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["main"]

EPILOG = """\
examples:
  oriolelock check examples/swanport/presets/peak.yaml
  oriolelock preset put examples/swanport/presets/peak.yaml
  oriolelock status
  oriolelock preset use peak --expect-version 7
  oriolelock drain add rack-7 --scope failure_domain --target perth-a --deadline +10min
  oriolelock preset --help

environment:
  ORIOLELOCK_CONTROL  addresses of control replicas, separated by commas or spaces
  ORIOLELOCK_TOKEN    the operators' token

exit codes:
  0 done   1 refused or conflict   2 bad usage or settings   3 unreachable
"""


def _timeout_s(text):
    node = nodes.Node("arguments", "", {"--timeout": text})
    try:
        return getters.get_ms(node, "--timeout", low=1.0) / 1000
    except settings_errors.SettingsError as exc:
        raise argparse.ArgumentTypeError(str(exc)) from exc


def _make_common(control_dest: str, **defaults) -> argparse.ArgumentParser:
    """Return the options of all verbs; they may stand before or after the verb.

    ``control_dest`` differs between the two places, because argparse would otherwise drop
    the addresses before the verb when others stand after it.
    """

    def default(name):
        return defaults.get(name, argparse.SUPPRESS)

    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--control",
        action="append",
        dest=control_dest,
        metavar="A.B.C.D:PORT",
        default=[],
        help="HTTP address of a control replica; repeat it for more, they are tried in turn",
    )
    common.add_argument(
        "--token-file",
        metavar="FILE",
        default=default("token_file"),
        help="file that holds the operators' token",
    )
    common.add_argument(
        "--timeout",
        dest="timeout_s",
        type=_timeout_s,
        metavar="DURATION",
        default=default("timeout_s"),
        help="how long to try, for example 5s (default: 20s)",
    )
    common.add_argument(
        "--output",
        choices=("table", "json"),
        default=default("output"),
        help="form of the result (default: table)",
    )
    return common


DEFAULTS = {"token_file": None, "timeout_s": 20.0, "output": "table"}


def _find_verb(argv: list[str]) -> str:
    """Return the verb that ``argv`` asks for, or the empty string."""
    for first, second in zip(argv, [*argv[1:], ""], strict=True):
        if f"{first} {second}" in verbs.VERBS:
            return f"{first} {second}"
        if first in verbs.VERBS:
            return first
    return ""


def _make_parser(wanted: str) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="oriolelock",
        description="Steers the deployment: presets, drains, client blocks and status.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        parents=[_make_common("control", **DEFAULTS)],
    )
    top = parser.add_subparsers(metavar="VERB", required=True)
    groups = {}
    for name, summary in verbs.GROUPS.items():
        group = top.add_parser(name, help=summary, description=summary)
        groups[name] = group.add_subparsers(metavar="VERB", required=True)
    for verb, (_, summary) in verbs.VERBS.items():
        group, _, name = verb.rpartition(" ")
        options = {"help": summary, "description": summary}
        if verb == wanted:
            module = verbs.find(verb)
            options["epilog"] = "examples:\n" + _indent(module.EXAMPLES)
            options["formatter_class"] = argparse.RawDescriptionHelpFormatter
            options["parents"] = [_make_common("control_after")]
        sub = (groups[group] if group else top).add_parser(name, **options)
        if verb == wanted:
            module.configure(sub)
            sub.set_defaults(run=module.run)
    return parser


def _indent(text):
    return "".join(f"  {line}\n" for line in text.splitlines())


def main(argv: list[str] | None = None) -> int:
    """Run one verb; returns the exit code (argparse itself exits with 2 for bad usage)."""
    argv = sys.argv[1:] if argv is None else argv
    args = _make_parser(_find_verb(argv)).parse_args(argv)
    args.control = [*args.control, *args.control_after]
    try:
        return args.run(args)
    except settings_errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return exit_codes.BAD_USAGE
    except errors.CliError as exc:
        print(f"oriolelock: {exc}", file=sys.stderr)
        return exc.exit_code
