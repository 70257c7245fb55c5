"""Randomized soak test of the daemons that forward requests to targets.

``python -m soak --seed 7 --minutes 1 --hosts 3`` starts the real daemons as
processes on the stand-in of the users' platform, injects faults from
outside, and checks what callers and targets observed.
"""
