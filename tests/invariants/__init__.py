"""What must always hold, one module for each point.

Each module has ``check(fleet)``, which returns the violations it finds in a
finished history as lines of text.
"""
