"""Play drawn faults and disturbances against real daemons.

`python -m tests.soak --seed N --seconds S` plays one run.  Whatever is drawn
comes from the seed; when things meet depends on the machine.
"""
