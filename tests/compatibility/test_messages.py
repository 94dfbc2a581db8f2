"""The bytes between daemons are those of release 7dc65ba, so that a fleet of old and new daemons
goes on working while its machines are restarted one by one.
"""

import json
import pathlib

import driver
import pytest

RECORDED = json.loads((pathlib.Path(__file__).parent / "data" / "messages.json").read_text())


@pytest.mark.parametrize("kind", sorted(RECORDED))
def test_every_recorded_frame_is_read_and_written_alike(kind):
    for frame in RECORDED[kind]:
        assert driver.written_again(bytes.fromhex(frame)).hex() == frame, kind
