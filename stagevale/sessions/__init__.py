"""Sessions: records that follow a session between edge sites, kept by placed groups of
registries.

`records` says what is known of a session, `groups` which registries keep it, `replica` is a
registry's part, `proxy_sessions` a proxy's, `group_manager` the configuration leader's.
"""
