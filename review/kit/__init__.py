"""Stand-ins and helpers of the review cases; standard library only."""
