"""Runs the program."""

import sys

from poplarspoke import core

if __name__ == '__main__':
    sys.exit(core.main())
