"""A randomized soak: real entries as processes, faults from outside, promises checked meanwhile."""
