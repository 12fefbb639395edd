"""Allotments: rates of client accounts over all daemons together."""
