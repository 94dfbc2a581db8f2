"""The configuration: what operators order, checked, agreed as one register and kept on disk."""
