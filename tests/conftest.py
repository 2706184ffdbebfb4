"""Settings of all tests: hypothesis draws the same examples every time."""

from hypothesis import settings

settings.register_profile("limedeck", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("limedeck")
