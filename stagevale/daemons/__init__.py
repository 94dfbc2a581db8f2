"""The three daemons: proxy, registry and store."""
