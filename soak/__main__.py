"""Runs the command."""

import sys

from soak.app import app

sys.exit(app())
