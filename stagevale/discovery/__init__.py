"""Service discovery: which endpoint instances there are, and how proxies and clients learn of it.

Begin with `registry_service.RegistryService`, which wires a registry's parts: `heartbeats` takes
what instances say of themselves, `instance_table` merges it, `shard_ownership` finds who declares
silent instances unhealthy, `feeds` brings changes to proxies, `proxy_directory` answers clients,
`anti_entropy` repairs what registries know differently, `configuration_client` follows the stores.
"""
