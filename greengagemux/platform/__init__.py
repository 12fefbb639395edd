"""Edge of the daemon towards the platform of the users: translation only."""
