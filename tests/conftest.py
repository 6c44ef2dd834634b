"""A Hypothesis profile with fixed seeds, so that property tests give the same result in every run."""

from hypothesis import settings

settings.register_profile("deterministic", derandomize=True, deadline=None)
settings.load_profile("deterministic")
