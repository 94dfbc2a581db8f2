"""The command line. The three daemons start without the command line's library, which costs time
and memory.
"""

import sys


def daemon(name):
    from stagevale.programs import run

    if name == "proxy":
        from stagevale.programs.proxy import Proxy as Program
    elif name == "registry":
        from stagevale.programs.registry import Registry as Program
    else:
        from stagevale.programs.store import Store as Program
    return run(Program, name)


def main():
    words = sys.argv[1:]
    if len(words) == 1 and words[0] in ("proxy", "registry", "store"):
        return daemon(words[0])
    from stagevale.commands import app

    return app(words)


if __name__ == "__main__":
    sys.exit(main())
