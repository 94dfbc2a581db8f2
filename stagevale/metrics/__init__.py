"""What a daemon tells of itself: counters, queues and the steps of its recovery."""
