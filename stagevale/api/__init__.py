"""The HTTP calls of endpoints, operators and clients to a registry.

`http_connection` speaks HTTP, `router` finds the handler of a call, `registry_api` lists the calls;
bodies and views are modules of their own.
"""
