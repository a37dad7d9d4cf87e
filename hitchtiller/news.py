"""What a gateway hears of servers and purges, however it is told."""

from dataclasses import dataclass

from hitchtiller import interface as api


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A line of the list: the member, and where it listens."""

    member: api.Member
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Topology:
    """News of the list."""

    hosts: tuple[ListedServer, ...]
    whole: bool


@dataclass(frozen=True, slots=True)
class PurgeNotice:
    """A purge of an object, or with no key of a group, at a Unix millisecond."""

    key: int | None
    group: int
    at_ms: float


Event = Topology | PurgeNotice
