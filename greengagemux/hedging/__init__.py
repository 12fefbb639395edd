"""Second attempts of slow requests within a limit of extra work.

The load this addresses: services of which a few responses take many times the
mean, and upstreams that turn slow or hang for some seconds before that is
detected.
"""
