#!/bin/sh
# Plays the case; TROUBLE=0 leaves out its disruption (read by ../harness.py).
exec python3 -B "$(dirname "$0")/case.py"
