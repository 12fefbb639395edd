"""Explanations of where a request would be placed, without sending it."""
