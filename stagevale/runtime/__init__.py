"""What a daemon needs of its process: clock, timers, sockets, the disk thread, settings, log."""
