"""The dispatcher itself: ownership of keys, queues, placement, limits, configuration."""
