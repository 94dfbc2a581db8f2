"""Disks of simulated daemons, kept in memory over their restarts."""


class MemoryDisk:
    """A disk that keeps the last record that was saved."""

    def __init__(self):
        self.kept = None

    def load(self):
        return self.kept

    def save(self, record):
        self.kept = record


class MemoryLog:
    """A session log that keeps its batches in memory."""

    def __init__(self):
        self.rows = []

    def load(self):
        return list(self.rows)

    def wants_snapshot(self):
        return len(self.rows) > 2000

    def append(self, rows, is_snapshot):
        self.rows = list(rows) if is_snapshot else self.rows + list(rows)
