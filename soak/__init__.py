"""A randomized soak of real entry processes: faults from outside, promises checked from outside."""
