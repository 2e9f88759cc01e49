"""
oriolelock.platform.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Runs a role on the platform: ``python -m oriolelock.platform ROLE``.
"""

import signal
import sys

__all__ = []

# A request to reload that comes during the imports would end the process; the settings are read
# after them in any case.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from oriolelock.platform import programs  # noqa: E402

if __name__ == "__main__":
    sys.exit(programs.main())
