"""The bounds by which a run is judged: what its daemons' settings say, as the rules name them."""

CONTACT_MS = 4000.0
ACK_DEADLINE_MS = 4000.0
SYNC_S = 4.0
DRAIN_CUTOFF_MS = 2500.0
GRACE_PERIOD_S = 6.0
LOSS_SLACK_MS = 200.0
APPLY_MS = 2500.0
EVACUATE_MS = 5000.0
RECOVERY_S = 15.0
MERGE_MS = 3000.0
BEAT_MS = 1500.0
MEMORY_MB = 300
FILE_LIMIT = 4100
# Callers of `control` go on to another daemon after so long a silence.
CALLER_PATIENCE_MS = 1000.0

SETTINGS_BOUNDS = {
    "contactMs": CONTACT_MS,
    "ackDeadlineMs": ACK_DEADLINE_MS,
    "syncS": SYNC_S,
    "drainCutoffMs": DRAIN_CUTOFF_MS,
    "gracePeriodS": GRACE_PERIOD_S,
    "lossSlackMs": LOSS_SLACK_MS,
    "applyMs": APPLY_MS,
    "evacuateMs": EVACUATE_MS,
    "recoveryS": RECOVERY_S,
    "mergeMs": MERGE_MS,
    "seedStalenessS": 3,
    "addrReuseS": 2,
    "ttl_max_s": 5,
}
