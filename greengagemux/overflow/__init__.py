"""Overflow to other regions, and the number of tries for a free slot."""
