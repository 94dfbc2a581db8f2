"""Draws days of trouble from every kind that the bench lists, for days of our own.

    python3 tools/draw_days.py KINDS OUT [--days N] [--seed N] [--length S] [--only KIND,...] [--closing HOW] [--long]

With `--long` days have hundreds of changes of the configuration, a fault every 8 to 14 s, and a closing fault.

KINDS is a file with what `fleetbench kinds SITE` prints: only kinds that it lists are drawn. Each day
is a file `OUT/drawn-SEED.toml`, played with `fleetbench run SITE FILE`.
"""

import argparse
import os
import random
import re

KIND_LINE = re.compile(r"^([a-z_]+): ", re.MULTILINE)
PLANNED = {"release", "scale_in", "scale_out", "config_change", "evacuate", "hup", "seed_turnover"}
LATEST_SHARE = 0.75

CUT_WAYS = ("leader", "leader meet", "leader race", "race", "all", "near", "one_way", "seeds")
CUT_WAYS += ("both", "lure", "oldest", "reset", "refuse", "leader race drain")
TERM_WAYS = ("", "remove", "hard", "busy", "turn")
KILL_WAYS = ("", "power", "leader", "leader race", "meet drain", "reader", "seed")
ACK_WAYS = ("", "kill", "timed", "taken", "taken gone")

# What may stand in an entry of each kind: fields with the values to draw from.
ENTRIES = {
    "core_cut": {"count": (1, 1, 2), "for_s": (3.0, 6.0, 12.0, 20.0), "how": CUT_WAYS},
    "node_cut": {"share": (0.1, 0.2), "for_s": (3.0, 6.0), "how": ("", "all", "servers")},
    "zone_cut": {"for_s": (3.0, 6.0, 12.0)},
    "zone_loss": {"for_s": (4.0, 6.0), "how": ("", "race drain hard", "meet")},
    "region_loss": {"for_s": (4.0, 6.0)},
    "replace_core": {"x": (0.5, 1.0, 3.0), "how": ("", "oldest", "planned")},
    "roll_term": {"on": ("core", "core", None), "gap_s": (1.0, 1.5, 3.0), "how": TERM_WAYS},
    "after_ack_kill": {"for_s": (2.0, 4.0), "count": (1, 2), "how": ACK_WAYS},
    "after_ack_wipe": {"for_s": (2.0, 4.0), "how": ("", "oldest", "timed")},
    "herd_kill": {
        "on": ("core", None),
        "share": (0.5, 1.0),
        "for_s": (1.0, 3.0),
        "how": ("", "power", "taken"),
    },
    "node_kill": {"on": ("core", None), "count": (1, 2), "for_s": (2.0, 4.0), "how": KILL_WAYS},
    "node_freeze": {
        "on": ("core", None),
        "count": (1, 2),
        "for_s": (2.0, 6.0, 20.0),
        "how": ("", "leader"),
    },
    "node_slow": {"on": ("core", None), "count": (1, 2), "x": (5.0,), "for_s": (4.0,)},
    "disk_slow": {"count": (1, 2), "x": (30.0,), "for_s": (6.0,)},
    "disk_stall": {"count": (1, 2), "for_s": (4.0, 8.0), "how": ("", "leader")},
    "disk_full": {"count": (1, 2), "for_s": (4.0, 8.0), "how": ("", "leader")},
    "clock_step": {
        "x": (2000.0, 20000.0),
        "share": (0.3, 0.6),
        "for_s": (6.0,),
        "how": ("back", "ahead"),
    },
    "reset_conns": {"on": ("core", None), "share": (0.3, 1.0), "x": (0.5, 1.0)},
    "seed_turnover": {},
    "hup": {"share": (0.3, 1.0), "gap_s": (2.0,)},
    "ack_lost": {"x": (0.7, 0.9), "for_s": (10.0, 25.0)},
    "config_change": {"how": ("route", "weights", "timeout", "idle")},
    "config_race": {"count": (1, 3, 6), "gap_s": (0.3, 1.2)},
    "bad_config": {"count": (3, 6), "gap_s": (0.5, 1.0)},
    "evacuate": {"for_s": (3.0, 8.0), "how": ("", "warm")},
    "answer_lost": {"share": (0.5,), "x": (0.03, 0.05), "for_s": (6.0,), "how": ("", "reset")},
    "garble": {
        "share": (0.5,),
        "x": (0.03,),
        "for_s": (6.0,),
        "how": ("", "extra", "extra late", "unframed", "early"),
    },
    "give_up": {"share": (0.3, 0.6), "for_s": (8.0,)},
    "retry_abuse": {"share": (0.2,), "x": (2.0,), "for_s": (6.0,)},
    "burst": {"x": (2.0,), "for_s": (4.0,)},
    "srv_crash": {"share": (0.15, 0.3), "for_s": (4.0,), "how": ("", "dark", "gone")},
    "srv_slow": {"share": (0.15,), "x": (4.0,), "for_s": (6.0,)},
    "srv_grey": {
        "share": (0.15,),
        "x": (0.4,),
        "for_s": (6.0,),
        "how": ("errors", "hang", "reset", "mute", "shed"),
    },
    "srv_lying_health": {"share": (0.15,), "for_s": (6.0,), "how": ("errors", "hang", "bad")},
    "srv_flap": {"share": (0.15,), "gap_s": (1.5,), "for_s": (6.0,)},
    "release": {"share": (0.4,), "x": (1.0,), "gap_s": (1.0,)},
    "replace_with_reuse": {"share": (0.15,), "how": ("", "drain", "dark")},
    "scale_in": {"share": (0.15,), "how": ("", "spot")},
    "scale_out": {"share": (0.3,), "gap_s": (4.0,)},
    "cold_return": {"for_s": (4.0,), "how": ("", "dark")},
    "idle_race": {"share": (0.5,), "x": (300.0,), "for_s": (6.0,)},
    "kill_leader": {"for_s": (3.0,), "how": ("kill", "freeze", "power", "cut")},
    "cloud_down": {"for_s": (5.0,), "how": ("silent", "busy", "reset")},
    "cloud_slow": {"x": (50.0,), "for_s": (5.0,)},
    "revoke": {"count": (1, 2), "gap_s": (1.0,)},
}
# How a closing fault that takes disks may strike; with `all`, every other machine loses power.
WIPE_WAYS = ("aimed", "timed", "taken", "oldest", "all")
WIPE_WAYS += ("aimed all", "timed all", "taken all", "oldest all", "timed oldest all")


def wipe(how):
    """A closing fault that takes disks."""
    return {"kind": "wipe_after_ack", "down_s": 1.0, "how": how}


CLOSINGS = (
    {"kind": "power_off_all", "down_s": 1.2},
    {"kind": "kill_all", "down_s": 0.6},
    {"kind": "wipe_after_ack", "down_s": 1.0},
    *[wipe(how) for how in WIPE_WAYS],
)
CONTROL = (
    "core_cut",
    "replace_core",
    "roll_term",
    "after_ack_kill",
    "after_ack_wipe",
    "herd_kill",
    "config_race",
    "ack_lost",
    "config_change",
    "reset_conns",
    "node_freeze",
    "disk_stall",
    "disk_full",
    "clock_step",
)


def toml_value(value):
    return f'"{value}"' if isinstance(value, str) else str(value)


def toml_table(fields):
    return (
        "{ " + ", ".join(f"{name} = {toml_value(value)}" for name, value in fields.items()) + " }"
    )


def entry(draw, kind, at_s):
    """One entry of a day: a kind with drawn fields."""
    fields = {"at": round(at_s, 2), "kind": kind}
    for name, values in ENTRIES[kind].items():
        value = draw.choice(values)
        if value is not None and value != "":
            fields[name] = value
    return fields


def draw_day(seed, kinds, length_s, closing=None):
    """The text of a day's file: troubles of the control side for the most part, and a closing
    fault: the given one, else in most days one that is drawn.
    """
    draw = random.Random(seed)
    control = [kind for kind in CONTROL if kind in kinds]
    others = [kind for kind in kinds if kind not in CONTROL]
    picked = draw.choices(control, k=draw.randint(3, 6)) + draw.choices(
        others or control, k=draw.randint(1, 3)
    )
    if "config_change" in kinds:
        picked += ["config_change"] * draw.randint(2, 6)
    entries = [entry(draw, kind, draw.uniform(1.0, length_s * LATEST_SHARE)) for kind in picked]
    plan = [row for row in entries if row["kind"] in PLANNED]
    faults = [row for row in entries if row["kind"] not in PLANNED]
    lines = [f'name = "drawn-{seed}"', 'slot = "trouble"', f"seed = {seed}"]
    drawn = draw.choice(CLOSINGS) if draw.random() < 0.6 else None
    if closing or drawn:
        lines.append(f"closing = {toml_table(closing or drawn)}")
    for name, rows in (("plan", plan), ("faults", faults)):
        lines.append(f"{name} = [")
        lines += [f"  {toml_table(row)}," for row in sorted(rows, key=lambda row: row["at"])]
        lines.append("]")
    return "\n".join(lines) + "\n"


# Long days: how changes follow each other, in seconds, what they are, and how far apart faults are.
CHANGE_GAP_S = (0.2, 0.5)
CHANGE_WAYS = ("route", "weights", "timeout", "tenant", "quota", "idle")
RACE_CHANCE, BIG_CHANCE = 0.05, 0.02
FAULT_GAP_S = (8.0, 14.0)
# At a day's end: so long no fault begins, and so long no change is made.
QUIET_S, LAST_CHANGE_S = 10.0, 3.0


def change_entry(draw, at_s):
    """A change of the configuration, now and then a race of changes or many new routes."""
    lot = draw.random()
    fields = {"at": round(at_s, 2)}
    if lot < RACE_CHANCE:
        return {**fields, "kind": "config_race", "count": 2, "gap_s": 0.25}
    if lot < RACE_CHANCE + BIG_CHANCE:
        return {**fields, "kind": "big_config", "count": draw.choice((3, 10, 20))}
    return {**fields, "kind": "config_change", "how": draw.choice(CHANGE_WAYS)}


def draw_long_day(seed, kinds, length_s, closing=None):
    """The text of a day with changes all through it and faults of all kinds one after the other."""
    draw = random.Random(seed)
    plan, faults = [], []
    at_s = 1.0
    while at_s < length_s - LAST_CHANGE_S:
        plan.append(change_entry(draw, at_s))
        at_s += draw.uniform(*CHANGE_GAP_S)
    others = [kind for kind in kinds if "config" not in kind]
    at_s = draw.uniform(4.0, 8.0)
    while at_s < length_s - QUIET_S:
        row = entry(draw, draw.choice(others), at_s)
        (plan if row["kind"] in PLANNED else faults).append(row)
        at_s += draw.uniform(*FAULT_GAP_S)
    lines = [
        f'name = "long-{seed}"',
        'slot = "trouble"',
        f"seed = {seed}",
        f"length_s = {length_s}",
    ]
    # Days of our own bring what a site's own days say of their worth.
    lines += ["one = 1.0", "zero = 0.3", "goal = { floor = 0.2 }"]
    lines.append(f"closing = {toml_table(closing or draw.choice(CLOSINGS))}")
    for name, rows in (("plan", plan), ("faults", faults)):
        lines.append(f"{name} = [")
        lines += [f"  {toml_table(row)}," for row in sorted(rows, key=lambda row: row["at"])]
        lines.append("]")
    return "\n".join(lines) + "\n"


def listed_kinds(text):
    """The kinds of entries that the bench lists and this tool knows."""
    return [kind for kind in KIND_LINE.findall(text) if kind in ENTRIES]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("kinds", help="a file with what the bench lists")
    parser.add_argument("out", help="the folder for the days")
    parser.add_argument("--days", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--length", type=float, default=32.0, help="seconds of traffic")
    parser.add_argument("--only", default="", help="kinds to draw from, with commas between")
    parser.add_argument("--closing", choices=WIPE_WAYS, help="how disks are lost at each day's end")
    parser.add_argument("--long", action="store_true", help="hundreds of changes in each day")
    options = parser.parse_args()
    with open(options.kinds, encoding="utf-8") as file:
        kinds = listed_kinds(file.read())
    if options.only:
        kinds = [kind for kind in kinds if kind in options.only.split(",")]
    os.makedirs(options.out, exist_ok=True)
    for seed in range(options.seed, options.seed + options.days):
        path = os.path.join(options.out, f"drawn-{seed}.toml")
        with open(path, "w", encoding="utf-8") as file:
            closing = wipe(options.closing) if options.closing else None
            draw = draw_long_day if options.long else draw_day
            file.write(draw(seed, kinds, options.length, closing))
        print(path)


if __name__ == "__main__":
    main()
