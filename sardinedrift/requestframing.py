"""Finds the boundaries of HTTP requests in received bytes, without I/O.

Only the boundaries are decoded here, so that the parser of the HTTP library
receives complete header sections and bounded pieces of bodies.
"""

import abc
import re

import msgspec

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
# Longest request line.
MAX_REQUEST_LINE_BYTES = 8192
# Longest line with the size of a chunk and its extensions.
MAX_CHUNK_LINE_BYTES = 256
# Longest line of a trailer.
MAX_TRAILER_LINE_BYTES = 8192
# Framing that a chunked body may have: a fixed part and a part for each byte of
# content. Chunks of one byte need six.
FRAMING_BYTES = 16_384
FRAMING_BYTES_PER_BYTE = 8
# Lines of a chunked body that are decoded at once.
MAX_LINES_AT_ONCE = 1000

# The library's parser ends with these methods and emits no request.
_REFUSED_METHODS = (b"CONNECT", b"PRI")
# Matches lower-case header sections.
_FRAMING_FIELD = re.compile(
    rb"\r\n(content-length|transfer-encoding):([^\r\n]*)"
)
_UPGRADE_LINE = re.compile(rb"\r\nupgrade:[^\r\n]*", re.IGNORECASE)
_FOLDED_LINE = re.compile(rb"\r\n[ \t]")
_CODING_FIELD = re.compile(rb"\r\ncontent-encoding:([^\r\n]*)", re.IGNORECASE)
_DIGITS = re.compile(rb"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;|\Z)")
# Parsers differ in whether these bytes end a line.
_CONTROL = re.compile(rb"[\r\n\x00]")


class FramingError(Exception):
    """The boundaries of a request cannot be determined."""


class CodingError(Exception):
    """The body has a content coding that is not supported."""


class Piece(msgspec.Struct, frozen=True):
    """A piece of a body.

    Attributes:
        data: the bytes for the parser.
        rest: received bytes that were not decoded. Once the body is complete
            they follow it; otherwise they are to be decoded later.
    """

    data: bytes
    rest: bytes


class Body(abc.ABC):
    """The body of one request.

    Attributes:
        complete: whether its last byte was received.
        content_bytes: bytes of content received so far.
        lines: lines of its framing received so far.
    """

    complete = False
    content_bytes = 0
    lines = 0

    @abc.abstractmethod
    def feed(self, data: bytes) -> Piece:
        """Decodes received bytes.

        Raises:
            FramingError: the bytes are malformed.
        """


class SizedBody(Body):
    """A body whose size was declared.

    Args:
        size: the declared size in bytes.
    """

    def __init__(self, size: int):
        self._size = size
        self.complete = not size

    def feed(self, data: bytes) -> Piece:
        """Decodes received bytes."""
        missing = self._size - self.content_bytes
        taken = data[:missing]
        self.content_bytes += len(taken)
        self.complete = self.content_bytes == self._size
        return Piece(taken, data[missing:])


class ChunkedBody(Body):
    """A chunked body.

    The chunks received together are passed on as one chunk without
    extensions, and trailers are discarded. Otherwise each small chunk would
    become an object of its own.
    """

    def __init__(self) -> None:
        self._line = b""
        self._chunk_left = 0
        self._in_trailer = False
        self._after_chunk = False
        self._framing_bytes = 0

    def feed(self, data: bytes) -> Piece:
        """Decodes received bytes."""
        content: list[bytes] = []
        data = self._line + data
        self._line = b""
        position = 0
        last_line = self.lines + MAX_LINES_AT_ONCE
        while position < len(data) and not self.complete:
            if self.lines >= last_line:
                break
            if self._chunk_left:
                taken = data[position : position + self._chunk_left]
                content.append(taken)
                self._chunk_left -= len(taken)
                self._after_chunk = not self._chunk_left
                position += len(taken)
                continue
            end = data.find(LINE_END, position)
            if end < 0:
                self._keep_line(data[position:])
                position = len(data)
                break
            self._read_line(data[position:end])
            self.lines += 1
            self._framing_bytes += end + len(LINE_END) - position
            position = end + len(LINE_END)
        joined = b"".join(content)
        self.content_bytes += len(joined)
        self._check_framing()
        return Piece(self._encode(joined), data[position:])

    def _keep_line(self, line: bytes) -> None:
        self._check_length(line.removesuffix(b"\r"))
        self._line = line

    def _check_length(self, line: bytes) -> None:
        allowed = (
            MAX_TRAILER_LINE_BYTES if self._in_trailer else MAX_CHUNK_LINE_BYTES
        )
        if len(line) > allowed:
            raise FramingError("a chunked body has a line that is too long")

    def _read_line(self, line: bytes) -> None:
        self._check_length(line)
        if _CONTROL.search(line):
            raise FramingError("a chunked body has a malformed line")
        if self._after_chunk:
            if line:
                raise FramingError("a chunk is longer than its size")
            self._after_chunk = False
        elif self._in_trailer:
            self.complete = not line
        else:
            match = _CHUNK_SIZE.match(line)
            if match is None:
                raise FramingError("a chunk has a malformed size")
            self._chunk_left = int(match[1], 16)
            self._in_trailer = not self._chunk_left

    def _check_framing(self) -> None:
        allowed = FRAMING_BYTES + FRAMING_BYTES_PER_BYTE * self.content_bytes
        if self._framing_bytes > allowed:
            raise FramingError("a chunked body has too much framing")

    def _encode(self, content: bytes) -> bytes:
        encoded = b"%x\r\n%b\r\n" % (len(content), content) if content else b""
        return encoded + b"0\r\n\r\n" if self.complete else encoded


class Head(msgspec.Struct, frozen=True):
    """A complete header section.

    Attributes:
        lines: number of its lines.
        content_length: declared size of the body; None for a chunked one.
    """

    lines: int
    content_length: int | None

    def new_body(self) -> Body:
        """Returns the decoder of the body."""
        if self.content_length is None:
            return ChunkedBody()
        return SizedBody(self.content_length)


def without_upgrade(data: bytes) -> bytes:
    """Returns a header section without requests for another protocol.

    A server may ignore them (RFC 9110, section 7.8), but the library's parser
    stops after such a request until its response.
    """
    return _UPGRADE_LINE.sub(b"", data)


def read_head(data: bytes) -> Head:
    """Reads the framing fields of a header section.

    Args:
        data: the section from its request line to its empty line.

    Raises:
        FramingError: the framing fields are malformed or contradictory, or the
            method or a folded line can be understood differently.
        CodingError: the body would have to be decoded.
    """
    if data.startswith(_REFUSED_METHODS) or _FOLDED_LINE.search(data):
        raise FramingError("the request is not supported")
    head = Head(data.count(LINE_END), _read_length(data))
    codings = _CODING_FIELD.findall(data)
    plain = all(each.strip(b" \t").lower() == b"identity" for each in codings)
    if head.content_length != 0 and not plain:
        raise CodingError("the content coding is not supported")
    return head


def _read_length(data: bytes) -> int | None:
    """Returns the declared size of a body, or None for a chunked one."""
    lengths: set[bytes] = set()
    codings: list[bytes] = []
    for name, value in _FRAMING_FIELD.findall(data.lower()):
        if name == b"content-length":
            lengths.add(value.strip(b" \t"))
        else:
            codings.append(value.strip(b" \t"))
    if codings:
        if lengths or codings[-1].rpartition(b",")[2].strip() != b"chunked":
            raise FramingError("the transfer encoding is not supported")
        return None
    if not lengths:
        return 0
    length = lengths.pop()
    if lengths or not _DIGITS.fullmatch(length):
        raise FramingError("the content length is malformed")
    return int(length)
