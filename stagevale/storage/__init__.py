"""Files on a machine's disk: dbm.dumb tables that are synced before they count."""
