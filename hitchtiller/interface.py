"""Settings, events and actions of the policy in `decide.py`; times end in `_ms`, sizes in `_kb`."""

from dataclasses import dataclass, field
from enum import IntEnum

OptionalText = str | None


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One request class: what an answer is worth, until when, and what a repeat would do."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    aim_stretch: float = 0.0
    late_share: float = 0.0
    effect: str = "repeatable"  # or by_key, once
    key_scope: str = "all"  # or zone, cell
    repeat_window_ms: float = 0.0
    stream: bool = False
    fresh_ms: float = 0.0  # 0: good until purged
    grace_ms: float = 0.0
    stale_share: float = 0.0
    write: bool = False  # runs at the origin, never kept


@dataclass(frozen=True, slots=True)
class Settings:
    """What a deployment states to each gateway at its start."""

    my_number: int
    group_size: int
    my_zone: str
    zones: tuple[str, ...]
    hub_of: tuple[int, ...]
    gateways_in_zone: tuple[int, ...]
    link_kb_per_s: tuple[float, ...]  # each zone's link in; 0 where untold
    classes: dict[str, ClassSettings]
    parent_kind: OptionalText
    origin_kind: OptionalText
    flow_kb_per_s: float  # one transfer to a client
    direct: bool = False
    joins: bool = False
    siblings: str = "none"  # or location, any
    notes: str = "none"  # or hit, all
    probes: bool = False
    report_fields: tuple[str, ...] = ()
    peers: bool = False
    cancel: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 1000.0
    parent_cold_share: float = 1.0
    parent_cold_ms: float = 0.0
    parent_fall_multiple: float = 1.0
    origin_fall_multiple: float = 0.0
    purge_grace_ms: float = 0.0
    purge_done_ms: float = 0.0
    weights: str = "rough"  # or none, nominal, live
    asks_discovery: bool = False
    ask_within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Member:
    """One line of the list: a cache, a parent or the origin."""

    server: str
    zone: str
    kind: str
    state: str  # SERVING, DRAINING or DELETED
    started_ms: float = 0.0  # 0: long ago
    weight: float = 1.0
    cell: int = -1


@dataclass(frozen=True, slots=True)
class Members:
    """News of the list; `whole` lists leave out what is gone, `failed` ones carry nothing."""

    members: tuple[Member, ...]
    whole: bool = False
    failed: bool = False


@dataclass(slots=True)  # made for every request: a frozen one costs four times as much
class Request:
    """A client's try, owed one final answer before its deadline."""

    id: int
    class_name: str
    key: int
    deadline_ms: float
    size_kb: float = 0.0  # 0 where untold
    group: int = -1
    part: int = 0
    retry: bool = False


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """A streamed answer has begun: the attempt is the client's from here."""

    id: int
    attempt: int
    server: str


@dataclass(slots=True)  # made for every request: a frozen one costs four times as much
class Outcome:
    """How an attempt ended; `closed` if the request is over with it."""

    id: int
    attempt: int
    server: str
    status: str  # the wire's words: done, err, busy, enoent ...
    latency_ms: float
    closed: bool = False
    note: int = 0
    waited_ms: float = 0.0
    load: dict[str, float] = field(default_factory=dict)
    silent: bool = False  # an econnrefused that came of silence: the process may well run
    whole: bool = True  # its bytes came; False where the client's copy was confirmed


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client has left; nothing is owed any more."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by the policy is due."""

    token: str


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a probe."""

    server: str
    status: str
    latency_ms: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerNote:
    """What gateways tell each other of an object's part and a cache."""

    kind: str  # ask (server: the asking cache), holder (server: "" for none), kept, lacks
    key: int
    part: int
    server: str
    number: int = 0  # ask: the asker's zone, by place; kept: the object's group


class LeaseKind(IntEnum):
    """What a note on a lease says."""

    REQUEST = 0
    GRANT = 1
    DENIAL = 2  # ask again after `wait_ms`
    RETURN = 3


@dataclass(frozen=True, slots=True)
class LeaseNote:
    """A note on a lease; `incarnation` and `sequence` name the request that it belongs to."""

    kind: LeaseKind
    incarnation: int  # Unix milliseconds of the requesting process's start
    sequence: int
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A note from another gateway."""

    sender: int
    note: PeerNote | LeaseNote


@dataclass(frozen=True, slots=True)
class Purged:
    """An object, or with no key a whole group, was purged `age_ms` ago."""

    key: int | None
    group: int
    age_ms: float


Event = Members | Request | StreamBegun | Outcome | ClientLeft | TimerDue | Probed | PeerMessage | Purged


@dataclass(slots=True)  # made for every request: a frozen one costs four times as much
class Get:
    """An attempt: ask `server`, fill a miss from `source` (itself: no fill), keep at rank `keep`."""

    id: int
    server: str
    source: str
    timeout_ms: float
    keep: int = 0
    age_ms: float = 0.0  # oldest copy that will do; 0: as the class has it
    join: bool = False
    held_only: bool = False  # the source gives only what it holds
    renew: bool = False
    overdue_ms: float = 0.0  # from which on no answer is a bad sign; 0: never


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, trying again is harmless."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, its effect unknown."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerDue` after `delay_ms`."""

    delay_ms: float
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a cache."""

    server: str


@dataclass(frozen=True, slots=True)
class SendNote:
    """Send a note to one gateway."""

    peer: int
    note: PeerNote | LeaseNote


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask discovery for changes."""

    on: bool = True


Action = Get | Cancel | Refuse | Fail | SetTimer | Probe | SendNote | Log | Watch
