"""All interleavings of three members to a depth, with the shipped views; each invariant seen to break."""

import pytest

from hitchtiller.membership.shares import capped_share, limit_share
from hitchtiller.membership.view import Claim, View
from standins import explore


def test_no_interleaving_of_three_passes_the_bound_or_leaves_views_apart() -> None:
    found = explore.search(3, 5)
    assert found.broken is None
    assert found.states > 6_000, "the search walks as far as it says"
    assert 0.8 <= found.most <= 1.0, "parts grow where members are thought gone, up to the bound"


def test_parts_that_follow_the_view_alone_pass_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(explore, "capped_share", lambda bound, wanted, size, serving: wanted / serving)
    found = explore.search(3, 5)
    assert found.broken and "the parts sum to" in found.broken[1]


def test_views_that_refute_nothing_never_meet(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(View, "refute", lambda self, claim, now_ms: False)
    found = explore.search(3, 4)
    assert found.broken and "views differ" in found.broken[1]


def test_a_refutation_that_is_no_newer_leaves_a_member_gone(monkeypatch: pytest.MonkeyPatch) -> None:
    def bows(self: View, claim: Claim, now_ms: float) -> bool:
        self.claims[self.own_number] = claim
        return True

    monkeypatch.setattr(View, "refute", bows)
    found = explore.search(3, 4)
    assert found.broken and "held for gone" in found.broken[1]


def test_a_claim_on_an_incarnation_that_was_never_had_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = View.merge

    def invents(self: View, number: int, claim: Claim, source: int, now_ms: float) -> bool:
        changed = plain(self, number, claim, source, now_ms)
        if number == self.own_number and changed:
            old = self.claims[number]
            self.claims[number] = Claim(old.incarnation + 950, old.state)
        return changed

    monkeypatch.setattr(View, "merge", invents)
    found = explore.search(3, 4)
    assert found.broken and "never had" in found.broken[1]


@pytest.mark.parametrize("size", [1, 3, 40, 200])
def test_any_views_spend_the_bound_at_most_and_the_rest_takes_over(size: int) -> None:
    assert size * capped_share(1.0, 0.8, size, serving=1) <= 1.0 + 1e-9  # all think that they are alone
    assert capped_share(1.0, 0.8, size, serving=0) <= limit_share(1.0, size)
    left = size - size // 10  # a tenth is dead: what the whole would use is used
    assert left * capped_share(1.0, 0.8, size, left) == pytest.approx(0.8)
