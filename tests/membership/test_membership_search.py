"""All interleavings of three members to a depth, with the real views; each invariant is seen to fail."""

import pytest

from hitchtiller.membership.shares import capped_share, limit_share
from hitchtiller.membership.view import MemberClaim, View
from standins import explore


def test_no_interleaving_of_three_exceeds_the_bound_or_leaves_views_different() -> None:
    found = explore.search(3, 5)
    assert found.broken is None
    assert found.states > 6_000, "the search covers the stated depth"
    assert 0.8 <= found.most <= 1.0, "shares grow up to the bound where members are believed dead"


def test_shares_that_follow_only_the_view_exceed_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(explore, "capped_share", lambda bound, wanted, size, serving: wanted / serving)
    found = explore.search(3, 5)
    assert found.broken and "the parts sum to" in found.broken[1]


def test_views_without_refutation_never_converge(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(View, "refute", lambda self, claim, now_ms: False)
    found = explore.search(3, 4)
    assert found.broken and "views differ" in found.broken[1]


def test_a_refutation_without_a_newer_incarnation_leaves_a_member_dead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def accept_claim(self: View, claim: MemberClaim, now_ms: float) -> bool:
        self.claims[self.own_number] = claim
        return True

    monkeypatch.setattr(View, "refute", accept_claim)
    found = explore.search(3, 4)
    assert found.broken and "held for gone" in found.broken[1]


def test_an_invented_incarnation_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original_merge = View.merge

    def merge_with_invention(
        self: View, number: int, claim: MemberClaim, reporter: int, now_ms: float
    ) -> bool:
        changed = original_merge(self, number, claim, reporter, now_ms)
        if number == self.own_number and changed:
            old = self.claims[number]
            self.claims[number] = MemberClaim(old.incarnation + 950, old.state)
        return changed

    monkeypatch.setattr(View, "merge", merge_with_invention)
    found = explore.search(3, 4)
    assert found.broken and "never had" in found.broken[1]


@pytest.mark.parametrize("size", [1, 3, 40, 200])
def test_shares_never_exceed_the_bound_and_the_rest_takes_over(size: int) -> None:
    assert size * capped_share(1.0, 0.8, size, serving=1) <= 1.0 + 1e-9  # each believes itself alone
    assert capped_share(1.0, 0.8, size, serving=0) <= limit_share(1.0, size)
    remaining = size - size // 10  # a tenth is dead; the rest uses what the whole would
    assert remaining * capped_share(1.0, 0.8, size, remaining) == pytest.approx(0.8)
