"""Singleton roles at the platform: one holder at a time, told apart by a rising fencing token.

The one role that there is reports usage: `usage_counter` counts requests in a proxy, `usage_table`
sums them in a registry, `node.SingletonNode` holds the role by consensus, collects and reports.
"""
