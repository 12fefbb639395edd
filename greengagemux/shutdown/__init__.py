"""End of a process, after its output has reached the other hosts."""
