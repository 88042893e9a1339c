"""Seed hypothesis, so that every run explores the same examples."""

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("ci")
