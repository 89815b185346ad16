"""Hypothesis profile that plays the same examples on every run."""

from __future__ import annotations

import hypothesis

hypothesis.settings.register_profile(
    'fixed', derandomize=True, deadline=None, max_examples=150
)
hypothesis.settings.load_profile('fixed')
