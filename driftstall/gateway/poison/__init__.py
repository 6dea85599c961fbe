"""Poison requests at one gateway: crash detection, refusal and persistence of the evidence."""
