"""Addresses of the form "ip:port"; names are not resolved."""

import ipaddress


def split_address(text: str) -> tuple[str, int]:
    """Returns host and port of "127.0.0.1:7100" or "[::1]:7100".

    Raises:
        ValueError: the text is no IP number with a port.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{text!r} is no IP number with a port")
    if host.startswith("[") and host.endswith("]"):
        return str(ipaddress.IPv6Address(host[1:-1])), int(port)
    return str(ipaddress.IPv4Address(host)), int(port)
