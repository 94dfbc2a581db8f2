"""The settings of one daemon; see `settings.Settings`."""
