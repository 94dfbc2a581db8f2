"""What a registry knows, for the tools: members, shards, instances, proxies."""

from typing import Any

from stagevale.discovery.feeds import Subscriber
from stagevale.discovery.instance import Instance
from stagevale.discovery.registry_service import RegistryService
from stagevale.membership.member import Member
from stagevale.placement.shards import SHARDS

# Where a proxy's report holds its latencies by region, if it measures any.
LATENCIES_FIELD = 5


def status_page(service: RegistryService) -> dict[str, Any]:
    """The body of `GET /v1/stand`; its keys are promised to tools and operators."""
    membership = service.membership
    configuration = service.configuration
    value = configuration.value
    now_ms = service.context.now_ms()
    return {
        "registry": service.rpc.address,
        "inContact": service.contact.reaches_majority(),
        "converged": membership.is_converged(),
        "leader": membership.leader() or "",
        "serial": configuration.serial,
        "version": f"r{value.version}" if value else "",
        "evacuated": list(value.evacuated) if value else [],
        "votes": list(value.group) if value else [],
        "zones": service.context.settings.zones,
        "sessions": service.sessions.status() if service.sessions is not None else {},
        "partners": {
            "rows": len(configuration.partners.routes),
            "mark": configuration.partners.mark,
            "offers": sorted(value.offers) if value else [],
        },
        "duties": service.singleton.status() if service.singleton is not None else {},
        "members": [
            _member_row(member, membership.is_reachable(member.address))
            for member in membership.state.sorted_members()
        ],
        "parts": {
            shard: {
                "group": list(service.replicas_of(shard)),
                "owner": service.shard_ownership.owner_of(shard),
            }
            for shard in SHARDS
        },
        "endpoints": [
            _instance_row(instance, now_ms) for instance in service.instances.by_id.values()
        ],
        "proxies": [_proxy_row(each) for each in service.feeds.subscribers.values()],
    }


def _member_row(member: Member, reachable: bool) -> dict[str, Any]:
    return {
        "address": member.address,
        "program": member.program,
        "zone": member.zone,
        "region": member.region,
        "state": member.state.label,
        "reachable": reachable,
    }


def _instance_row(instance: Instance, now_ms: float) -> dict[str, Any]:
    return {
        "id": instance.id,
        "service": instance.service,
        "address": instance.address,
        "zone": instance.zone,
        "slots": instance.slots,
        "state": instance.state.label,
        "healthy": instance.is_healthy,
        "coldLeftMs": max(0, int(instance.warmup_left_ms(now_ms))),
    }


def _proxy_row(proxy: Subscriber) -> dict[str, Any]:
    report = proxy.report
    return {
        "address": proxy.address,
        "front": proxy.front,
        "zone": proxy.zone,
        "region": proxy.region,
        "ready": bool(proxy.ready),
        "report": report,
        "table": list(proxy.partner_table or ()),
        "delays": report[LATENCIES_FIELD] if len(report) > LATENCIES_FIELD else [],
    }
