"""What the compatibility tests ask of the code at hand, by the names that it has today.

The tests and their data stay as release 7dc65ba left them; this module follows the code.
"""

import json

from simworld import Fleet, SimTransport
from standins import Client

from stagevale import wire
from stagevale.affinity.log import SessionLog
from stagevale.configuration.disk import DiskRegister, Folder, NumberedTables
from stagevale.configuration.value import Value, read_value
from stagevale.duties.node import DutyValue, read_duty_value
from stagevale.register.storage import Vote, VoteStorage
from stagevale.registrations import READY, Life, life_from_fields
from stagevale.settings import SettingsFailure, load_settings, read_settings

GROUP = ("10.0.0.1:7201", "10.0.0.2:7201", "10.0.0.3:7201~0a1b2c3d")


# messages


def written_again(frame):
    """A recorded frame, read and written by the code at hand."""
    return wire.pack(wire.unpack(frame, "recorded", "a peer"))


# stored data


def config_text(version, routes=20):
    """A configuration of some routes, as an operator sends it."""
    rows = [f'{{"host":"h{n}.example","pathPrefix":"/p{n % 7}/"}}' for n in range(routes)]
    return f'{{"version":"r{version}","routes":[' + ",".join(rows) + "]}"


def configuration_votes(count):
    """A store's votes, each one change of the configuration after the one before."""
    value = Value(
        1,
        1,
        config_text(1),
        ("a1",),
        GROUP,
        offers={"shop": ("ab12", '{"routes":[]}')},
        sessions={"|0": (3, ("10.0.0.1:7200",), ("10.0.0.2:7200",))},
        rollouts={"s": '{"service":"s"}'},
    )
    peers = ("10.0.0.2:7200", "10.0.0.3:7200")
    votes = [
        Vote(GROUP[0], GROUP[:2], (1, "10.0.0.1:7201#aa"), (1, "10.0.0.1:7201#aa"), value, peers)
    ]
    for number in range(2, count + 1):
        value = value.after(
            version=number,
            config=config_text(number).replace("/p3/", f"/q{number}/", 1),
            answered=value.answered.with_order(str(number), f"{number:024x}"),
        )
        ballot = (number, "10.0.0.2:7201#bb")
        votes.append(Vote(GROUP[0], GROUP[:2], ballot, ballot, value, peers))
    return votes


def duty_votes(count):
    """A registry's votes on the platform's duties."""
    value = DutyValue(1, 1, "registry-1", GROUP, (), 3)
    votes = []
    for number in range(1, count + 1):
        value = value.after(
            fence=number,
            pending=((number + 3, f'{{"windowNo":{number + 3}}}'),),
            through=number + 3,
        )
        ballot = (number, "10.0.0.1:7200#cc")
        votes.append(Vote(GROUP[0], GROUP[:2], ballot, ballot, value))
    return votes


def save_configuration_votes(folder, count):
    """Saves votes one after the other, as a store does."""
    storage = VoteStorage(NumberedTables(Folder(str(folder))), read_value)
    for vote in configuration_votes(count):
        storage.save(vote)


def save_duty_votes(folder, count):
    """Saves votes one after the other, as a registry with duties does."""
    storage = VoteStorage(NumberedTables(Folder(str(folder))), read_duty_value)
    for vote in duty_votes(count):
        storage.save(vote)


def save_sessions(folder, batches):
    """Appends batches of session rows, the third of which replaces those before."""
    log = SessionLog(Folder(str(folder)))
    log.load()
    for number, rows in enumerate(batches):
        log.append(rows, number == 2)


def endpoint_rows():
    """Rows of endpoints as a registry tells them and keeps them as hints."""
    lives = [
        Life("i-1", "s", "10.9.0.1:80", "a1", 3, READY, 7, 0, 0, 0, software="v1"),
        Life("i-2", "t", "10.9.0.2:80", "b1", 4, READY, 9, 4, 2, 1500, software=""),
    ]
    return [life.fields(0.0) for life in lives]


def save_hints(folder):
    """Saves endpoint hints three times, as a registry does."""
    register = DiskRegister(Folder(str(folder)))
    for count in (0, 1, 2):
        register.save(wire.pack([0, endpoint_rows()[:count]]))


def read_vote(folder, kind):
    """The newest vote in a folder, as plain data."""
    reader = read_value if kind == "configuration" else read_duty_value
    vote = VoteStorage(NumberedTables(Folder(str(folder))), reader).load()
    return {
        "voter": vote.voter,
        "founders": list(vote.founders),
        "promised": list(vote.promised),
        "accepted_ballot": list(vote.accepted_ballot),
        "peers": list(vote.peers),
        "value": vote.accepted.fields(),
        "mark": vote.accepted.mark.hex(),
    }


def read_sessions(folder):
    """All rows of a session log."""
    return SessionLog(Folder(str(folder))).load()


def read_hints(folder):
    """The rows of the endpoints that a registry remembers."""
    record = DiskRegister(Folder(str(folder))).load()
    rows = wire.unpack(record, "load", "disk")[1]
    return [life_from_fields(row, 0.0).fields(0.0) for row in rows]


# calls of endpoints and operators


class Calls:
    """A simulated core whose registry is called with raw HTTP."""

    def __init__(self):
        self.fleet = Fleet(41, proxies=1)
        world = self.fleet.world
        assert world.until(lambda: len(self.fleet.leaders()) == 1 and self.fleet.formed(13), 60000)
        world.run(5000)

    def call(self, text, port=8000):
        """Sends bytes on a new connection; returns all that came back within two seconds."""
        world = self.fleet.world
        context, factory = world.listeners[("10.0.0.1", port)]
        client, sender = Client(world), type("Sender", (), {"alive": True})()
        far = SimTransport(world, "10.0.0.1", "10.7.0.1", factory(), 1000, context)
        near = SimTransport(world, "10.7.0.1", "10.0.0.1", client, 1000, sender)
        far.other, near.other = near, far
        world.transports.append(far)
        far.protocol.connection_made(far)
        client.connection_made(near)
        client.transport.write(text.encode())
        world.run(2000)
        return client.got.decode()


# settings


def settings_fields(text):
    """A settings file's fields by their keys in the file, or the text of the failure."""
    try:
        settings = read_settings(text)
    except SettingsFailure as failure:
        return {"failure": str(failure)}
    bounds = settings.bounds
    return {
        "name": settings.name,
        "machineClass": settings.machine_class,
        "ip": settings.ip,
        "zone": settings.zone,
        "region": settings.region,
        "counted": settings.counted,
        "firstStart": settings.first_start,
        "dataPath": settings.data_path,
        "memoryMb": settings.memory_mb,
        "fileLimit": settings.file_limit,
        "innerPorts": list(settings.inner_ports),
        "seeds": list(settings.seeds),
        "listen": {name: list(address) for name, address in settings.listen.items()},
        "zones": settings.zones,
        "beatMs": settings.beat_ms,
        "tolerance": settings.tolerance,
        "policyPath": settings.policy_path,
        "steering": settings.steering,
        "platform": list(settings.platform) if settings.platform else None,
        "duties": list(settings.duties),
        "dutyPerS": settings.duty_per_s,
        "bounds": {name: getattr(bounds, name) for name in sorted(type(bounds).__slots__)},
    }


def settings_file_failure(path):
    """The text of the failure to load a settings file."""
    try:
        load_settings(path)
    except SettingsFailure as failure:
        return str(failure)
    return None


def as_json(value):
    """Plain data as it looks after a trip through JSON."""
    return json.loads(json.dumps(value))
