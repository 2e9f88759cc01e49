"""
oriolelock.cli.exit_codes
~~~~~~~~~~~~~~~~~~~~~~~~~

    Exit codes of the operators' command line.
"""

__all__ = ["BAD_USAGE", "DONE", "REFUSED", "UNREACHABLE"]

DONE = 0
REFUSED = 1
BAD_USAGE = 2
UNREACHABLE = 3
