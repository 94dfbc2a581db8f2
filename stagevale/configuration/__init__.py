"""The configuration: what operators set, how it is checked, and the consensus group that keeps it.

`value.ConfigurationValue` is what is agreed on, `node.ConfigurationNode` a store's part in that,
`command_handlers` what each command of an operator does to the value.
"""
