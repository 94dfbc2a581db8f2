"""Calls of operators, as the pages describe them."""

PATIENCE_MS = 1000.0


class Attempt:
    """One call: it is over with its first answer, after a second of silence, or once its connection
    is lost; what comes after that goes to nobody.
    """

    def __init__(self, world, on_answer, on_silence):
        self.on_answer, self.on_silence = on_answer, on_silence
        self.is_over = False
        world.later(PATIENCE_MS, self.give_up)

    def answered(self, status, text):
        if not self.is_over:
            self.is_over = True
            self.on_answer(status, text)

    def give_up(self):
        if not self.is_over:
            self.is_over = True
            self.on_silence()
