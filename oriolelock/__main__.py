"""
oriolelock.__main__
~~~~~~~~~~~~~~~~~~~

    ``python -m oriolelock``.
"""

import sys

from oriolelock import cmdline

if __name__ == "__main__":
    sys.exit(cmdline.main())
