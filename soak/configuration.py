"""The configurations of a run."""

import json

from soak import bounds

HOST = "soak.example"
MAIN_SERVICE, OTHER_SERVICE = "main", "other"
SERVICES = [MAIN_SERVICE, OTHER_SERVICE]
SESSION_HEADER = "Session-Id"
TENANT_KEYS = {"hill": "key-of-hill", "coast": "key-of-coast"}
BODY_MAX_BYTES = 64 * 1024 * 1024
TIMEOUT_MS = {
    "/pure/": 3000,
    "/effectful/": 3000,
    "/keyed/": 3000,
    "/probe/": 3000,
    "/upload/": 9000,
    "/upload-once/": 9000,
}
VARIANTS = {"/effectful/": "effectful", "/keyed/": "effectful", "/upload-once/": "effectful"}


def probe_service(version: int) -> str:
    """The service that the probe route goes to under a version."""
    return SERVICES[version % len(SERVICES)]


def configuration(version: int, parent: int) -> bytes:
    """A whole configuration; versions differ in the service of the probe route."""
    routes = [_route(prefix, version) for prefix in TIMEOUT_MS]
    table = {
        "version": f"r{version}",
        "parentVersion": f"r{parent}" if parent else 0,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 110, "warmupS": 0, "coldPerS": 999}
            for name in SERVICES
        ],
        "limits": {
            "headerMaxBytes": 16384,
            "bodyMaxBytes": BODY_MAX_BYTES,
            "headerReadMs": 3000,
            "idleMs": 15000,
        },
        "tenants": [{"name": name, "apiKeys": [key]} for name, key in TENANT_KEYS.items()],
    }
    return json.dumps(table).encode()


def _route(prefix: str, version: int) -> dict[str, object]:
    route: dict[str, object] = {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "variant": VARIANTS.get(prefix, "pure"),
        "timeoutMs": TIMEOUT_MS[prefix],
        "targetMs": 1000,
        "priority": 1,
        "service": probe_service(version) if prefix == "/probe/" else MAIN_SERVICE,
        "maxAttempts": 2,
    }
    if prefix == "/keyed/":
        route["affinity"] = {"header": SESSION_HEADER, "keepS": 600}
    return route


# A configuration may take this much longer than other orders for each route.
ACK_MS = bounds.ACK_DEADLINE_MS + 3 * len(TIMEOUT_MS)
