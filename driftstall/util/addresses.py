"""Parse addresses of the form IP:port."""

from __future__ import annotations

import ipaddress


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address such as 127.0.0.1:8000 or [::1]:8000.

    Raises ValueError if the host is no IP address or the port is no number from 0 to 65535.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 <= number < 65536:
        raise ValueError(f"the port {number} is out of range")
    return host, number
