"""Fault injection against real gateway processes, with checks of their guarantees."""
