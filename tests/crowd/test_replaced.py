"""Another process comes up at the address of a server that died under effects, before the list tells."""

import asyncio

from standins.replaced import run_round


def test_no_effect_runs_again_in_a_new_process_that_was_taken_for_the_old_one() -> None:
    assert asyncio.run(run_round(1)) == []
