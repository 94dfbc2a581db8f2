"""Simulates the loss of a region beside the real traffic, for the command `rehearse`.

`plan` reads the state of the running system, `simulation` plays requests against a model of it with the
real chooser, `report` compares the model before and after the loss. No request is sent anywhere.
"""
