"""A shard has one owner: whoever a majority of its replicas has promised, and nobody else."""

import pytest
from support.fleet import Fleet
from test_control import address, settled_fleet

from stagevale.discovery.messages import ShardCampaign
from stagevale.placement.shards import SHARDS
from stagevale.quorum.ballot import Ballot
from stagevale.rpc.kinds import MessageKind

CORE = 6
SHARD = next(iter(SHARDS))
# After the last cut: members that meet, shards that are placed, elections.
SETTLING_MS = 15000


def owners(fleet, shard):
    """The registries that say of themselves that they own a shard."""
    return [
        number
        for number, registry in fleet.registries.items()
        if registry.context.alive and registry.service.shard_ownership.owns(shard)
    ]


def all_have_one_owner(fleet):
    return all(len(owners(fleet, shard)) == 1 for shard in SHARDS)


def owned_fleet(seed):
    fleet = settled_fleet(seed)
    assert fleet.world.until(lambda: all_have_one_owner(fleet), 20000)
    return fleet


def replicas(fleet):
    """The numbers of the machines whose registries keep the shard, and its owner."""
    (owner,) = owners(fleet, SHARD)
    kept_by = fleet.registries[owner].service.replicas_of(SHARD)
    numbers = [n for n in fleet.registries if fleet.registries[n].rpc.address in kept_by]
    return numbers, owner


def test_a_candidate_that_loses_its_election_owns_nothing():
    """Guards against a registry that takes its own promise for its election."""
    fleet = owned_fleet(61)
    numbers, owner = replicas(fleet)
    loser = next(number for number in numbers if number != owner)
    others = [address(n) for n in numbers if n != loser]
    fleet.world.cut([address(loser)], others)
    fleet.registries[loser].service.shard_ownership._run_for(SHARD)  # noqa: SLF001 - as its cycle does
    for _ in range(20):
        fleet.world.run(50)
        assert loser not in owners(fleet, SHARD)


def test_a_candidate_whose_majority_comes_late_doesnt_go_over_a_higher_ballot():
    """Guards against two owners: one by old promises, one by those that were given since."""
    fleet = owned_fleet(62)
    numbers, owner = replicas(fleet)
    late, winner = [number for number in numbers if number != owner][:2]
    rest = [address(n) for n in numbers if n != late]
    ownership = fleet.registries[late].service.shard_ownership
    fleet.world.hold(rest, [address(late)])
    ownership._run_for(SHARD)  # noqa: SLF001 - as its cycle does
    fleet.world.run(100)
    # The others' promises are on their way, and a higher ballot reaches the candidate first.
    higher = Ballot(ownership._term + 1, f"{fleet.registries[winner].rpc.address}#aa")  # noqa: SLF001 - see above
    fleet.registries[late].rpc.handlers[MessageKind.SHARD_CAMPAIGN](
        address(winner), ShardCampaign(SHARD, higher), lambda _promise: None
    )
    fleet.world.join()
    fleet.world.run(100)
    assert not ownership.owns(SHARD)


def test_a_shard_whose_candidate_lost_has_an_owner_soon():
    """Guards against voters that wait for a candidate which they promised and which lost."""
    fleet = owned_fleet(63)
    numbers, owner = replicas(fleet)
    loser = [number for number in numbers if number != owner][-1]
    others = [address(n) for n in numbers if n != loser]
    # Its requests arrive, the promises are lost.
    fleet.world.cut_one_way(others, [address(loser)])
    fleet.registries[loser].service.shard_ownership._run_for(SHARD)  # noqa: SLF001 - as its cycle does
    fleet.world.run(300)
    fleet.world.join()
    assert fleet.world.until(lambda: len(owners(fleet, SHARD)) == 1, 8000)
    fleet.world.run(8000)
    assert len(owners(fleet, SHARD)) == 1


@pytest.mark.parametrize("seed", range(12))
def test_starts_in_which_machines_meet_late_end_with_one_owner_a_shard(seed):
    """Guards against two registries, or none, that own a shard for as long as anybody looks."""
    fleet = Fleet(seed=700 + seed, core=3)
    draw = fleet.world.random
    for _ in range(4):
        number = draw.randrange(3)
        rest = [address(n) for n in range(3) if n != number]
        fleet.world.cut_one_way([address(number)], rest)
        fleet.world.run(draw.uniform(200, 1500))
        fleet.world.join()
        fleet.world.run(draw.uniform(50, 600))
    fleet.world.run(SETTLING_MS)
    for _ in range(20):
        fleet.world.run(250)
        assert all_have_one_owner(fleet)
