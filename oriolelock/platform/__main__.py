"""
oriolelock.platform.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Runs a role on the platform: ``python -m oriolelock.platform ROLE``.
"""

import sys

from oriolelock.platform import programs

__all__ = []

if __name__ == "__main__":
    sys.exit(programs.main())
