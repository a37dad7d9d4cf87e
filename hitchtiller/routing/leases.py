"""Leases on the origin: a bound on simultaneous fills that is smaller than the number of gateways.

All gateways together may have `capacity` fills at the origin at once. In a fleet of up to that many gateways,
each has a fixed number of them. In a larger fleet, the gateways numbered 0 to `capacity` - 1 own one permit
each and grant it, to one gateway at a time, as a lease that expires by itself. A gateway that has a miss and
no lease sends a request to one owner, selected at random. The miss waits for the answer, once, and the lease
also serves the misses that follow. Under one lease one fill is in flight at a time, and only a fill whose
deadline lies before the lease's end.

The bound holds when notes are lost or late, when the network is partitioned, and whatever each gateway
believes about the others, for these reasons:

- An owner grants its permit again only once the last lease was returned or has expired by the owner's clock.
  The holder counts from when it *sent the request*, which is earlier, so the lease ends first at the holder,
  however long the notes took.
- Who owns a permit follows from the gateways' numbers alone. No view of the fleet is involved, so no two
  views can disagree about it.
- An owner that has just started does not know what it granted before, so it grants nothing for a whole term.
- A holder that has just started does not know which fills its previous process left at the origin. Its notes
  carry a new incarnation, so it does not return the lease of the previous one, which has to expire.
- A process that was suspended reads the clock when it resumes. A fill that it had decided to send is checked
  again at its first byte (`covers`).

Not covered: clocks that are set by more than CLOCK_MARGIN_MS while a lease runs (a clock that is seen to go
back ends the lease), and a cache that continues a fill after its deadline. When the configured fleet size
changes across `capacity`, both ways of sharing are in use until all gateways have the new size.

Bounds. State: one granted lease and one held lease. Messages: none without misses that need the origin. A
gateway with such misses sends at most one request in RETRY_MS (later after a denial, by the wait that the
owner stated) and one return per lease; an owner answers each request. Only the requests that reach an owner
grow with the number of gateways: where all need a lease and no permit is free, gateways / `capacity` in
MAX_BUSY_WAIT_MS on average.
"""

from dataclasses import dataclass
from random import Random

from hitchtiller.interface import LeaseKind, LeaseNote, Settings

CLOCK_MARGIN_MS = 100.0  # from the holder's end of a lease to the owner's, as their clocks may drift apart
RETRY_MS = 200.0  # until an owner that does not answer is given up, randomized by half
IDLE_MS = 400.0  # without a fill, after which a lease is returned
MAX_BUSY_WAIT_MS = 2_000.0  # longest wait stated while a permit is granted: it may be returned early
TERM_DEADLINES = 2.0  # of the longest request in a term, so that fills may begin during half of a term


Messages = list[tuple[int, LeaseNote]]  # each with the number of the gateway to send it to


@dataclass(slots=True)
class GrantedLease:
    """A lease as its owner records it."""

    holder: int
    incarnation: int
    sequence: int
    expires_ms: float


@dataclass(slots=True)
class HeldLease:
    """A lease as its holder records it."""

    owner: int
    sequence: int
    expires_ms: float
    last_used_ms: float


@dataclass(slots=True)
class LeaseRequest:
    """A request for a lease that has not been answered yet."""

    owner: int
    sequence: int
    sent_ms: float


class OriginLeases:
    """One gateway's part of the fills at the origin; methods return the notes to send."""

    def __init__(self, settings: Settings, capacity: int) -> None:
        """Create the state of one gateway; `capacity` is the bound on fills of all gateways together."""
        self.number, self.capacity, self.can_send_notes = settings.my_number, capacity, settings.peers
        self.fixed_fills = capacity // max(1, settings.group_size)  # fills allowed without a lease
        longest_deadline_ms = max(
            (c.deadline_ms for c in settings.classes.values() if not c.write), default=0.0
        )
        self.term_ms = TERM_DEADLINES * longest_deadline_ms + CLOCK_MARGIN_MS
        self.rng = Random(f"leases {self.number}")
        self.incarnation, self.sequence = 0, 0
        self.grants_from_ms = 0.0  # an owner grants nothing during its first term
        self.granted_lease: GrantedLease | None = None
        self.held_lease: HeldLease | None = None
        self.pending_request: LeaseRequest | None = None
        # earliest time of the next request; latest clock reading
        self.next_request_ms = self.latest_clock_ms = 0.0
        self.fills_in_flight = 0  # fills at the origin
        self.grants_received = self.denials_received = 0

    @property
    def owns_permit(self) -> bool:
        """Return whether this gateway owns a permit."""
        return not self.fixed_fills and self.number < self.capacity

    def start(self, now_ms: float) -> None:
        """Record when the process started; must be called before any other method."""
        self.incarnation = int(now_ms)
        self.grants_from_ms = now_ms + self.term_ms
        self.latest_clock_ms = now_ms

    # Fills

    def may_begin(self, deadline_ms: float, now_ms: float) -> bool:
        """Return whether a fill that ends by its deadline may be sent to the origin now."""
        if self.fixed_fills:
            return self.fills_in_flight < self.fixed_fills
        return self.fills_in_flight == 0 and self.covers(deadline_ms, now_ms)

    def covers(self, deadline_ms: float, now_ms: float) -> bool:
        """Return whether a fill that was decided on may still be sent: its deadline lies within the lease."""
        if self.fixed_fills:
            return True
        if now_ms < self.latest_clock_ms:  # the clock was set back, so the lease would last too long
            self.held_lease = None
        self.latest_clock_ms = now_ms
        return self.held_lease is not None and deadline_ms <= self.held_lease.expires_ms

    def record_fill_start(self, now_ms: float) -> None:
        """Record that a fill was sent."""
        self.fills_in_flight += 1
        if self.held_lease:
            self.held_lease.last_used_ms = now_ms

    def record_fill_end(self, now_ms: float) -> None:
        """Record that a fill has ended."""
        self.fills_in_flight -= 1
        if self.held_lease:
            self.held_lease.last_used_ms = now_ms

    # Notes

    def request_lease(self, now_ms: float) -> Messages:
        """Request a lease after a fill was not allowed; do nothing while one is held or requested."""
        if self.fixed_fills or self.held_lease or self.pending_request or now_ms < self.next_request_ms:
            return []
        self.sequence = (self.sequence + 1) & 0xFFFF
        if self.owns_permit and self._can_grant(now_ms):
            self.granted_lease = GrantedLease(
                self.number, self.incarnation, self.sequence, now_ms + self.term_ms
            )
            self.held_lease = self._new_lease(self.number, now_ms)
            return []
        if not self.can_send_notes:
            return []
        owner = self.rng.randrange(self.capacity)
        if owner == self.number:  # its own permit is granted already
            owner = (owner + 1) % self.capacity
        self.pending_request = LeaseRequest(owner, self.sequence, now_ms)
        return [(owner, LeaseNote(LeaseKind.REQUEST, self.incarnation, self.sequence))]

    def tick(self, now_ms: float) -> Messages:
        """Return a lease that has expired or is not used, and give up an owner that does not answer."""
        if self.pending_request and now_ms - self.pending_request.sent_ms > RETRY_MS:
            self._back_off(RETRY_MS, now_ms)
        lease = self.held_lease
        if lease is None or self.fills_in_flight:
            return []
        if now_ms < lease.expires_ms and now_ms - lease.last_used_ms < IDLE_MS:
            return []
        return self._return_lease(lease)

    def receive(self, sender: int, note: LeaseNote, now_ms: float) -> Messages:
        """Handle a note from another gateway."""
        match note.kind:
            case LeaseKind.REQUEST:
                return [(sender, self._answer_request(sender, note, now_ms))]
            case LeaseKind.RETURN:
                self._accept_return(sender, note)
            case LeaseKind.GRANT:
                return self._accept_grant(sender, note, now_ms)
            case LeaseKind.DENIAL:
                if self._answers_pending(sender, note):
                    self.denials_received += 1
                    self._back_off(note.wait_ms, now_ms)
        return []

    # As an owner

    def _can_grant(self, now_ms: float) -> bool:
        if now_ms < self.grants_from_ms:
            return False
        return self.granted_lease is None or now_ms >= self.granted_lease.expires_ms

    def _answer_request(self, sender: int, note: LeaseNote, now_ms: float) -> LeaseNote:
        request_id = (sender, note.incarnation, note.sequence)
        if self.owns_permit and self._can_grant(now_ms):
            self.granted_lease = GrantedLease(*request_id, now_ms + self.term_ms)
            return LeaseNote(LeaseKind.GRANT, note.incarnation, note.sequence)
        lease = self.granted_lease
        if (
            lease
            and (lease.holder, lease.incarnation, lease.sequence) == request_id
            and now_ms < lease.expires_ms
        ):
            return LeaseNote(LeaseKind.GRANT, note.incarnation, note.sequence)  # a duplicate request
        busy_wait_ms = min(MAX_BUSY_WAIT_MS, lease.expires_ms - now_ms) if lease else 0.0
        start_wait_ms = self.grants_from_ms - now_ms
        wait_ms = max(RETRY_MS, busy_wait_ms, start_wait_ms if self.owns_permit else 0.0)
        return LeaseNote(LeaseKind.DENIAL, note.incarnation, note.sequence, wait_ms)

    def _accept_return(self, sender: int, note: LeaseNote) -> None:
        lease = self.granted_lease
        request_id = (sender, note.incarnation, note.sequence)
        if lease and (lease.holder, lease.incarnation, lease.sequence) == request_id:
            self.granted_lease = None

    # As a holder

    def _new_lease(self, owner: int, requested_ms: float) -> HeldLease:
        self.grants_received += 1
        return HeldLease(owner, self.sequence, requested_ms + self.term_ms - CLOCK_MARGIN_MS, requested_ms)

    def _answers_pending(self, sender: int, note: LeaseNote) -> bool:
        pending = self.pending_request
        request_id = (sender, note.incarnation, note.sequence)
        return pending is not None and request_id == (pending.owner, self.incarnation, pending.sequence)

    def _accept_grant(self, sender: int, note: LeaseNote, now_ms: float) -> Messages:
        if self._answers_pending(sender, note) and self.pending_request:
            self.held_lease = self._new_lease(sender, self.pending_request.sent_ms)
            self.held_lease.last_used_ms = now_ms
            self.pending_request = None
            return []
        lease = self.held_lease
        is_current = lease is not None and (lease.owner, lease.sequence) == (sender, note.sequence)
        if note.incarnation != self.incarnation or is_current:
            return []  # of an earlier process, whose fills may still run; or a duplicate
        return [(sender, LeaseNote(LeaseKind.RETURN, note.incarnation, note.sequence))]  # it came too late

    def _return_lease(self, lease: HeldLease) -> Messages:
        self.held_lease = None
        if lease.owner == self.number:
            self.granted_lease = None
            return []
        return [(lease.owner, LeaseNote(LeaseKind.RETURN, self.incarnation, lease.sequence))]

    def _back_off(self, wait_ms: float, now_ms: float) -> None:
        """Send no request for a random time, so that gateways denied together do not retry together."""
        self.pending_request = None
        bounded_wait_ms = min(max(wait_ms, 0.0), self.term_ms)
        self.next_request_ms = now_ms + bounded_wait_ms * (0.5 + self.rng.random())
