"""The commands of `python3 -m stagevale`, for people. A module for each group of commands.

The text of a command's doc comment is its help on the command line.
"""
