"""Types of fields that several messages of the platform have."""

from typing import Annotated

import msgspec

from sardinedrift.engine.model import Size
from sardinedrift.jsoncodec import MAX_INTEGER

# The store limits the length of a key; other names are limited alike, so that
# records which hold them are bounded.
MAX_NAME_LENGTH = 255

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""Number or time that is not negative and can be recorded."""

Quantity = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""Rate or time that need not be whole."""

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
"""Name that is recorded with other values."""


class Resources(msgspec.Struct, frozen=True):
    """Resources of a worker, a machine or a client account."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0

    def size(self) -> Size:
        """Returns the resources as the engine's type."""
        return Size(self.cpu, self.mem_mb, self.gpu)
