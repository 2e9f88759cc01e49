"""
oriolelock.entry.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~

    Runs the entry daemon as ``python -m oriolelock.entry``.
"""

import sys

from oriolelock.entry import main

__all__ = []

if __name__ == "__main__":
    sys.exit(main.main())
