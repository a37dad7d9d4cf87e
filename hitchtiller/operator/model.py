"""The schema of the operators' file: its blocks as msgspec models, each setting with its bounds.

The models are the only list of the settings: reading, checking, the suggestions for misspelt names and the
example in the docs derive from them. The description of a setting completes "write ..." in a problem. Sizes
in `_mb` are millions of bytes; times end in `_s` or `_ms`.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct

MB = 1_000_000


class Log(Struct, frozen=True, forbid_unknown_fields=True):
    """The block `log`: the form of the log lines."""

    form: Annotated[Literal["text", "json"], Meta(description='"text" or "json"')] = "text"


class Share(Struct, frozen=True, forbid_unknown_fields=True):
    """The block `share "CLASS"`: the weight of one request class in the memory tier."""

    weight: Annotated[float, Meta(gt=0, le=1000, description="a number above 0")] = 1.0


class Disk(Struct, frozen=True, forbid_unknown_fields=True):
    """The block `disk`: the tier of copies in a folder, which survive a restart."""

    folder: Annotated[str, Meta(min_length=1, description="the path of a folder that this gateway may write")]
    budget_mb: Annotated[float, Meta(ge=1, le=1_000_000, description="a size from 1 to 1000000")] = 1024
    reserve_mb: Annotated[float, Meta(ge=0, le=100_000, description="a size from 0 to 100000")] = 0
    segment_mb: Annotated[float, Meta(ge=0.5, le=256, description="a size from 0.5 to 256")] = 64
    queue_mb: Annotated[float, Meta(ge=0.5, le=1024, description="a size from 0.5 to 1024")] = 8
    readers: Annotated[int, Meta(ge=1, le=16, description="a whole number from 1 to 16")] = 2
    sync_ms: Annotated[float, Meta(ge=10, le=60_000, description="a time from 10 to 60000")] = 1000
    checkpoint_s: Annotated[float, Meta(ge=0.1, le=3600, description="a time from 0.1 to 3600")] = 30
    compact_mb_per_s: Annotated[float, Meta(ge=0.1, le=10_000, description="a rate from 0.1 to 10000")] = 50
    compact_busy_mb_per_s: Annotated[
        float, Meta(ge=0.1, le=10_000, description="a rate from 0.1 to 10000")
    ] = 5


class Store(Struct, frozen=True, forbid_unknown_fields=True):
    """The block `store`: the gateway's own copies, in memory and optionally on disk."""

    memory_mb: Annotated[float, Meta(ge=0.1, le=1_000_000, description="a size from 0.1 to 1000000")] = 64
    policy: Annotated[
        Literal["tinylfu", "s3fifo", "lru", "lfu", "fifo"],
        Meta(description='"tinylfu", "s3fifo", "lru", "lfu" or "fifo"'),
    ] = "s3fifo"
    confirm: Annotated[bool, Meta(description="true or false")] = True
    purge_lag_ms: Annotated[float, Meta(ge=0, le=60_000, description="a time from 0 to 60000")] = 2000
    disk: Disk | None = None
    share: dict[str, Share] = {}


class Repository(Struct, frozen=True, forbid_unknown_fields=True):
    """The block `repository "NAME"`: a package repository, served below the path `prefix`."""

    kind: Annotated[Literal["simple", "debian"], Meta(description='"simple" or "debian"')]
    class_name: Annotated[str, Meta(min_length=1, description="the name of a class that may be kept")]
    prefix: Annotated[str, Meta(description='a path such as "pypi/", or "" for all')] = ""
    group: Annotated[int, Meta(ge=-1, le=255, description="a group from 0 to 255, or -1")] = -1
    grace_s: Annotated[float, Meta(ge=0, le=86_400, description="a time from 0 to 86400")] = 60
    index_mb: Annotated[float, Meta(ge=0.01, le=1000, description="a size from 0.01 to 1000")] = 32


class Repo(Struct, frozen=True, forbid_unknown_fields=True):
    """The block `repo`: the HTTP server for package repositories, its limits and timeouts."""

    listen: Annotated[str, Meta(min_length=3, description='an address such as "127.0.0.1:8080"')]
    connections: Annotated[int, Meta(ge=1, le=100_000, description="a number from 1 to 100000")] = 256
    each_address: Annotated[int, Meta(ge=1, le=100_000, description="a number from 1 to 100000")] = 16
    header_s: Annotated[float, Meta(ge=0.1, le=600, description="a time from 0.1 to 600")] = 5
    idle_s: Annotated[float, Meta(ge=0.1, le=3600, description="a time from 0.1 to 3600")] = 15
    slow_s: Annotated[float, Meta(ge=0.1, le=3600, description="a time from 0.1 to 3600")] = 20
    give_way: Annotated[bool, Meta(description="true or false")] = True
    hosts: Annotated[str, Meta(description='host names, apart by commas, or ""')] = ""
    repository: dict[str, Repository] = {}


class Membership(Struct, frozen=True, forbid_unknown_fields=True):
    """The block `membership`: gateways agree over the peer socket on which of them are alive."""

    period_ms: Annotated[float, Meta(ge=50, le=60_000, description="a time from 50 to 60000")] = 1000
    fleet: Annotated[str, Meta(description="a name that all gateways of one fleet share")] = ""


class File(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; a feature whose block is absent is off, and the log is written as text."""

    log: Log = Log()
    store: Store | None = None
    repo: Repo | None = None
    membership: Membership | None = None
