"""Runs the command line: ``python -m snipetrestle``."""

import sys

from snipetrestle.cli import main

if __name__ == "__main__":
    sys.exit(main())
