"""Records of the configuration stream and their encoding."""

from __future__ import annotations

import typing

import msgspec


class Term(typing.NamedTuple):
    """Identifies one leadership of a failure domain; terms are ordered.

    Attributes
    ----------
    epoch : int
        Offset of the last Lead record of the domain that the candidate had
        applied, 0 without one.
    step : int
        Counts elections within an epoch.
    instance : str
        Host name and a random part chosen when the process started, so
        that no two candidates ever share a term.
    """

    epoch: int
    step: int
    instance: str


class Fence(typing.NamedTuple):
    """Fencing token of a gate. Higher tokens take precedence.

    Attributes
    ----------
    term : Term
        Term of the leader that issued the token.
    sequence : int
        Counts the tokens of one term.
    """

    term: Term
    sequence: int

    def to_text(self) -> str:
        """Return the form used in HTTP headers."""
        epoch, step, instance = self.term
        return f"{epoch}.{step}.{self.sequence}.{instance}"

    @classmethod
    def from_text(cls, text: str) -> Fence:
        """Parse the form used in HTTP headers.

        Raises
        ------
        ValueError
            If the text is not in that form.
        """
        epoch, step, sequence, instance = text.split(".", 3)
        return cls(Term(int(epoch), int(step), instance), int(sequence))


class TableRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """One row of the services table.

    Fields that do not apply to the row's kind keep their defaults.

    Attributes
    ----------
    kind : str
        "service" or "server".
    service : str
        Name of the service.
    server : str
        Name of the backend server, unique over the table.
    domain : str
        Failure domain of the backend server.
    address : str
        IP number and port of the backend server.
    weight : int
        Share of the service's ranges, relative to other servers.
    slots : int
        Requests that the server runs concurrently.
    connections : int
        Connections that the server accepts.
    fenced : bool
        Whether the server checks fencing tokens.
    state : str
        "active" or "leaving", for servers.
    priority : int
        Under overload, requests of higher priority are served first.
    timeout_ms : int
        Longest time for a request, milliseconds.
    repeatable : str
        "always", "safe" (GET and HEAD only) or "never".
    queue : int
        Requests that may wait for one server.
    queue_ms : int
        Longest wait for a slot, milliseconds.
    on_cut : str
        "stay" or "move": whether keys of a domain that is cut off stay
        with it or move to another domain.
    body_limit : int
        Largest request body, bytes.
    """

    kind: str
    service: str
    server: str = ""
    domain: str = ""
    address: str = ""
    weight: int = 1
    slots: int = 0
    connections: int = 0
    fenced: bool = True
    state: str = "active"
    priority: int = 0
    timeout_ms: int = 0
    repeatable: str = "safe"
    queue: int = 0
    queue_ms: int = 0
    on_cut: str = "stay"
    body_limit: int = 0


class RangeChange(msgspec.Struct, frozen=True, array_like=True):
    """New owner of a range of positions.

    Attributes
    ----------
    service : str
        Name of the service.
    start, end : int
        First position, and the position after the last.
    bases : tuple of int
        Versions of the ranges that [start, end) overlaps, in order of
        position. The change is refused if the versions have changed. It
        may cover a part of the first and of the last range, which are
        then split.
    server : str
        Backend server that owns the range from now on.
    successors : tuple of str
        Servers of the same failure domain that take the range over, in
        this order, when the owner is lost.
    """

    service: str
    start: int
    end: int
    bases: tuple[int, ...]
    server: str
    successors: tuple[str, ...] = ()


class TableChange(msgspec.Struct, frozen=True, tag="table"):
    """Replaces the services table.

    Attributes
    ----------
    request_id : str
        Chosen by the writer, who recognises its own record by it.
    operator : str
        Who asked for the change.
    base : int
        Version of the table that the change is based on, -1 for the
        first table.
    rows : tuple of TableRow
        The whole new table.
    """

    request_id: str
    operator: str
    base: int
    rows: tuple[TableRow, ...]


class DomainChange(msgspec.Struct, frozen=True, tag="domain"):
    """Takes a failure domain out of service ("out") or back ("in")."""

    request_id: str
    operator: str
    domain: str
    state: str
    base: int


class HostChange(msgspec.Struct, frozen=True, tag="host"):
    """Marks a host as "leaving" or "active"."""

    request_id: str
    operator: str
    host: str
    state: str
    base: int


class Lead(msgspec.Struct, frozen=True, tag="lead"):
    """Registers the leader of a failure domain."""

    request_id: str
    domain: str
    term: Term


class Intent(msgspec.Struct, frozen=True, tag="intent"):
    """Announces planned moves of ranges before they are released."""

    request_id: str
    domain: str
    term: Term
    changes: tuple[RangeChange, ...]


class Assign(msgspec.Struct, frozen=True, tag="assign"):
    """Gives ranges to backend servers."""

    request_id: str
    domain: str
    term: Term
    changes: tuple[RangeChange, ...]


Record = TableChange | DomainChange | HostChange | Lead | Intent | Assign

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Return the bytes of a record as stored in the log."""
    return _ENCODER.encode(record)


def decode(body: bytes) -> Record:
    """Return the record for bytes from the log.

    Raises
    ------
    msgspec.ValidationError
        If the bytes are not a record known to this version.
    """
    return _DECODER.decode(body)
