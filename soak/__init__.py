"""Run the real gateway processes under random faults and check their promises."""
