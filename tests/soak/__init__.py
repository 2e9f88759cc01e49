"""A randomized soak: the real programs on loopback, with faults from outside of them."""
