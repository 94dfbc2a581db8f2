"""Units of the clocks; all times inside the daemons are in milliseconds."""

MS_PER_S = 1000.0
# Before any moment of a monotonic clock: when something that hasn't happened yet is said to have.
LONG_AGO_MS = -1e12
