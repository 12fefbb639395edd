"""Client accounts: identification, routes and limits of their requests."""
