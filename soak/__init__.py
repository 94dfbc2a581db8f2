"""Plays deployments of the project's real daemons on loopback, disturbs them, and judges what callers
saw by the rules.

`plan` draws what happens, `runner` plays it, `judge` judges it; `app` is the command.
"""
