"""Settings, events and actions of the decisions in `decide.py`.

Names of times end in `_ms`, of sizes in `_kb`. A zone's index is its position in `Settings.zones`.
"""

from dataclasses import dataclass, field
from enum import IntEnum

OptionalText = str | None


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One request class: what an answer is worth, until when, and what a repeated request would do."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    aim_stretch: float = 0.0
    late_share: float = 0.0
    effect: str = "repeatable"  # or by_key, once
    key_scope: str = "all"  # servers that know a used key; or zone, cell
    repeat_window_ms: float = 0.0
    stream: bool = False
    fresh_ms: float = 0.0  # age up to which a copy is fresh; 0: fresh until purged
    grace_ms: float = 0.0
    stale_share: float = 0.0
    write: bool = False  # runs at the origin; caches keep no copy


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a deployment, as given to each gateway at its start."""

    my_number: int
    group_size: int
    my_zone: str
    zones: tuple[str, ...]
    hub_of: tuple[int, ...]
    gateways_in_zone: tuple[int, ...]
    link_kb_per_s: tuple[float, ...]  # capacity of the link into each zone; 0 where it is not known
    classes: dict[str, ClassSettings]
    parent_kind: OptionalText
    origin_kind: OptionalText
    flow_kb_per_s: float  # rate of one transfer to a client
    direct: bool = False
    joins: bool = False
    siblings: str = "none"  # caches that a cache may fill from; or location (its zone), any
    notes: str = "none"  # answers that say how they were served; or hit, all
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
    weights: str = "rough"  # meaning of the list's weights; or none, nominal, live
    asks_discovery: bool = False
    ask_within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Member:
    """One entry of the server list: a cache, a parent or the origin."""

    server: str
    zone: str
    kind: str
    state: str  # SERVING, DRAINING or DELETED
    started_ms: float = 0.0  # 0: long ago, the server is warm
    weight: float = 1.0
    cell: int = -1


@dataclass(frozen=True, slots=True)
class Members:
    """A change of the server list; a `whole` list omits servers that are gone, a `failed` one is empty."""

    members: tuple[Member, ...]
    whole: bool = False
    failed: bool = False


@dataclass(slots=True)  # created for every request; a frozen one is four times as expensive
class Request:
    """A client's request, which must get exactly one final answer before its deadline."""

    id: int
    class_name: str
    key: int
    deadline_ms: float
    size_kb: float = 0.0  # 0 where it is not known
    group: int = -1
    part: int = 0
    retry: bool = False


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """A streamed answer has begun: from here on the attempt belongs to its client."""

    id: int
    attempt: int
    server: str


@dataclass(slots=True)  # created for every request; a frozen one is four times as expensive
class Outcome:
    """The end of an attempt; `closed` if its request has ended with it."""

    id: int
    attempt: int
    server: str
    status: str  # done, err, busy, enoent ..., as on the wire
    latency_ms: float
    closed: bool = False
    note: int = 0
    waited_ms: float = 0.0
    load: dict[str, float] = field(default_factory=dict)
    silent: bool = False  # an econnrefused after silence, not after a refusal: the process may still run
    whole: bool = True  # the bytes were sent; False where the client's copy was confirmed


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client has disconnected; its request needs no answer any more."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer that the decisions set is due."""

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
    """A note between gateways about a part of an object and a cache."""

    kind: str  # ask (server: the cache that asks), holder (server: "" for none), kept, lacks
    key: int
    part: int
    server: str
    number: int = 0  # ask: index of the asking gateway's zone; kept: the object's group


class LeaseKind(IntEnum):
    """The kinds of lease notes."""

    REQUEST = 0
    GRANT = 1
    DENIAL = 2  # the requester may ask again after `wait_ms`
    RETURN = 3


@dataclass(frozen=True, slots=True)
class LeaseNote:
    """A note about a lease; `incarnation` and `sequence` identify the request that it belongs to."""

    kind: LeaseKind
    incarnation: int  # start time of the requesting process, in Unix milliseconds
    sequence: int
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A note received from another gateway."""

    sender: int
    note: PeerNote | LeaseNote


@dataclass(frozen=True, slots=True)
class Purged:
    """An object, or a whole group if `key` is None, was purged `age_ms` ago."""

    key: int | None
    group: int
    age_ms: float


Event = Members | Request | StreamBegun | Outcome | ClientLeft | TimerDue | Probed | PeerMessage | Purged


@dataclass(slots=True)  # created for every request; a frozen one is four times as expensive
class Get:
    """Send an attempt to `server`; a miss is filled from `source`, or not if that is `server` itself."""

    id: int
    server: str
    source: str
    timeout_ms: float
    keep: int = 0  # rank at which the cache keeps the copy
    age_ms: float = 0.0  # largest age of a copy that will do; 0: as the class states
    join: bool = False  # may wait for a fill of the same part that is under way
    held_only: bool = False  # the source answers only from a copy that it holds
    renew: bool = False  # an ageing copy may be served and renewed in the background
    overdue_ms: float = 0.0  # time after which a missing answer counts as a failure; 0: never


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; the client may safely retry."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; whether its effect took place is unknown."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerDue` event after `delay_ms`."""

    delay_ms: float
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server; the result comes as a `Probed` event."""

    server: str


@dataclass(frozen=True, slots=True)
class SendNote:
    """Send a note to another gateway."""

    peer: int
    note: PeerNote | LeaseNote


@dataclass(frozen=True, slots=True)
class Log:
    """Log a line for the operators."""

    text: str


@dataclass(frozen=True, slots=True)
class WatchDiscovery:
    """Ask discovery for changes of the list."""

    on: bool = True


Action = Get | Cancel | Refuse | Fail | SetTimer | Probe | SendNote | Log | WatchDiscovery
