"""Randomized soak of real entry processes: injects faults and checks promises from outside."""
