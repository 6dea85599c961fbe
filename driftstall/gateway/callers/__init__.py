"""Requests and connections of callers, with the limits that apply to them."""
