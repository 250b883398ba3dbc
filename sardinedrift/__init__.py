"""Fleet capacity and maintenance manager.

The exported names let a program replay the platform's log and build the same
state as every entry; `sardinedrift.entry.run` runs an entry.
"""

from sardinedrift.changes import Batch, Result, decode_batch, encode_batch
from sardinedrift.exceptions import SardinedriftError
from sardinedrift.fold import apply_record, rehearse
from sardinedrift.state import State

__all__ = [
    "Batch",
    "Result",
    "SardinedriftError",
    "State",
    "apply_record",
    "decode_batch",
    "encode_batch",
    "rehearse",
]
