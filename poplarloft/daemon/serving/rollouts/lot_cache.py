"""The lots whose results an instance has read, within bounds."""

from collections import abc
import dataclasses

from poplarloft.coordination import serving
from poplarloft.protocol import lot_records
from poplarloft import state

__all__ = ["CachedLot", "LotCache"]

LOT_OVERHEAD_BYTES = 1_000
RESULT_OVERHEAD_BYTES = 400


@dataclasses.dataclass(slots=True)
class CachedLot:
    """The part of a lot that this instance has read.

    The results are a whole prefix of those in the log.
    """

    head: state.LotHead | None = None
    results: list[state.LotResult] = dataclasses.field(default_factory=list)
    last_key: str = ""
    log: serving.LogPosition = dataclasses.field(
        default_factory=serving.LogPosition
    )
    record: state.LotRecord | None = None
    used_at_ms: int = 0
    held_bytes: int = LOT_OVERHEAD_BYTES

    @property
    def is_complete(self) -> bool:
        """Whether the results of all items have been read."""
        return self.head is not None and (len(self.results) >= self.head.total)

    def add_entries(self, entries: abc.Iterable[state.Entry]) -> bool:
        """Append entries of the log, in order.

        Returns
        -------
        bool
            Whether all have been read now; not if one before them is
            missing.

        Raises
        ------
        FieldError
            If an entry cannot be decoded.
        """
        for entry in entries:
            number = lot_records.parse_log_key(entry.key)
            match self.log.place(number):
                case serving.Follows.NEXT:
                    self._append(entry)
                case serving.Follows.GAP:
                    return False
        return True

    def _append(self, entry: state.Entry) -> None:
        if self.head is None:
            self.head = lot_records.decode_head(entry.value)
        else:
            results = lot_records.decode_batch(entry.value)
            self.results += results
            self.held_bytes += len(entry.value)
            self.held_bytes += RESULT_OVERHEAD_BYTES * len(results)
        self.last_key = entry.key
        self.log.advance()

    def set_record(self, record: state.LotRecord) -> None:
        """Set the record of the lot."""
        self.record = record
        self.held_bytes += serving.held_bytes(record.lot)


class LotCache:
    """Lots by identifier; those not used for longest make room.

    What is dropped is read from the store again when it is asked for.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    retention_ms : int
        Time after which a lot that is not used is dropped.
    max_bytes : int
        Bound on what all lots hold.
    """

    def __init__(
        self, clock: state.Clock, retention_ms: int, max_bytes: int
    ) -> None:
        self.clock = clock
        self.retention_ms = retention_ms
        self.max_bytes = max_bytes
        # Those not used for longest come first.
        self.lots: dict[str, CachedLot] = {}

    def find(self, lot_id: str) -> CachedLot | None:
        """Return a lot, None if it is not here."""
        return self.lots.get(lot_id)

    def use(self, lot_id: str) -> CachedLot:
        """Return a lot, which is added if it is not here."""
        lot = self.lots.pop(lot_id, None) or CachedLot()
        lot.used_at_ms = self.clock.now_ms()
        self.lots[lot_id] = lot
        self._drop_unused()
        return lot

    def drop(self, lot_id: str) -> None:
        """Drop a lot."""
        self.lots.pop(lot_id, None)

    def _drop_unused(self) -> None:
        oldest_ms = self.clock.now_ms() - self.retention_ms
        held_bytes = sum(lot.held_bytes for lot in self.lots.values())
        for lot_id, lot in list(self.lots.items())[:-1]:
            if lot.used_at_ms >= oldest_ms and held_bytes <= self.max_bytes:
                return
            held_bytes -= lot.held_bytes
            del self.lots[lot_id]
