"""The dispatcher: ownership of keys, queues, placement, limits and configuration."""
