"""Approved transcripts: what an exchange printed, kept beside the tests."""

import os
import pathlib

APPROVED = pathlib.Path(__file__).parents[1] / "approved"


def approve(name, lines):
    """Compares a transcript with the approved one; STAGEVALE_APPROVE=1 writes it anew."""
    text = "\n".join(lines) + "\n"
    path = APPROVED / f"{name}.txt"
    if os.environ.get("STAGEVALE_APPROVE") == "1":
        APPROVED.mkdir(exist_ok=True)
        path.write_text(text)
    assert path.exists(), f"no approved transcript {path.name}; got:\n{text}"
    assert text == path.read_text(), f"transcript {path.name} differs; got:\n{text}"
