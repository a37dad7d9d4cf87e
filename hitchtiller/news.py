"""Events about listed servers and purges, independent of how a gateway receives them."""

from dataclasses import dataclass

from hitchtiller import interface as api


@dataclass(frozen=True, slots=True)
class ListedServer:
    """An entry of the list of servers: the member and the address that it listens on."""

    member: api.Member
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Topology:
    """A change of the list of servers, or with `whole` the complete list."""

    hosts: tuple[ListedServer, ...]
    whole: bool


@dataclass(frozen=True, slots=True)
class PurgeNotice:
    """A purge of an object, or without a key of a whole group; `at_ms` is in Unix milliseconds."""

    key: int | None
    group: int
    at_ms: float


Event = Topology | PurgeNotice
