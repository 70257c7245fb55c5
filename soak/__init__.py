"""A randomized soak of the daemons that pass requests on.

``python -m soak --seed 7 --minutes 1 --hosts 3`` runs the real program as
processes on the stand-in of the users' platform, injects faults from
outside, and judges what callers and targets saw.
"""
