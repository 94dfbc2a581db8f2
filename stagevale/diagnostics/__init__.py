"""What the command `doctor` checks: settings, deploy file, configurations and a running system.

Each `…_check` module takes a file or an address and returns `finding.Finding`s.
"""
