"""
oriolelock.cli.errors
~~~~~~~~~~~~~~~~~~~~~

    Errors of the command line; ``cmdline`` prints them and exits with their code.
"""

from oriolelock.cli import exit_codes

__all__ = ["BadUsage", "CliError", "Unreachable"]


class CliError(Exception):
    """Base of all errors of this layer."""

    exit_code = exit_codes.BAD_USAGE


class BadUsage(CliError):
    """Arguments or credentials that can't be used."""


class Unreachable(CliError):
    """No control replica answered in time."""

    exit_code = exit_codes.UNREACHABLE
