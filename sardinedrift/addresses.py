"""Parses addresses of the form "ip:port"; names are not resolved."""

import ipaddress


def split_address(text: str) -> tuple[str, int]:
    """Splits an address such as "127.0.0.1:7100" or "[::1]:7100".

    Returns:
        IP address without brackets, and port.

    Raises:
        ValueError: the text is not an IP address with a port.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"expected an IP address with a port, got {text!r}")
    if host.startswith("[") and host.endswith("]"):
        return str(ipaddress.IPv6Address(host[1:-1])), int(port)
    return str(ipaddress.IPv4Address(host)), int(port)
