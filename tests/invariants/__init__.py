"""Invariants of the fleet, one module for each.

``check(fleet)`` of a module returns the violations in a finished history as
lines of text. ``capacity_floor`` is checked during the history instead, with
``floor_violations(daemon)``.
"""
