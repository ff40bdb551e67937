"""A randomised soak of the real program: separate processes, faults from outside."""
