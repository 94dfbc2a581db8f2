"""The command line. The three daemons start without the command line's library, which costs time
and memory.
"""

import sys

from stagevale.daemons.launch import DAEMONS, launch


def main() -> int:
    """Runs a daemon or a command; returns the exit code."""
    words = sys.argv[1:]
    if len(words) == 1 and words[0] in DAEMONS:
        return launch(words[0])
    from stagevale.commands.app import app

    return app(words)


if __name__ == "__main__":
    sys.exit(main())
