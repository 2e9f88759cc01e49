"""
oriolelock.bench.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~

    Entry point of ``python -m oriolelock.bench``.
"""

import sys

from oriolelock.bench import cmdline

if __name__ == "__main__":
    sys.exit(cmdline.main())
