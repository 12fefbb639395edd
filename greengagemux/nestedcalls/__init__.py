"""Nested calls: requests that an upstream makes while it runs another."""
