"""Effects are repeated only if nothing ran, or within the repeat window of their key and scope."""

import copy
import errno
import json
import select
import tempfile
import time
import unittest
from dataclasses import replace
from pathlib import Path
from unittest.mock import patch

from conftest import BASE, FLEET, Bench, gets
from scenario import Gateway, Party, answer

from hitchtiller import interface as api
from hitchtiller.codec import frames
from hitchtiller.ops import shared_effects
from hitchtiller.ops.shared_effects import SharedEffects
from hitchtiller.routing.effects import MAX_KEYS, WINDOW_MARGIN_MS, Effects, UnconfirmedEffect
from hitchtiller.routing.request_ids import RequestIds
from hitchtiller.sched import START_OFFSET_MS, now_ms

ZONE_SCOPED = api.ClassSettings(
    "pay", 800.0, 3000.0, effect="by_key", key_scope="zone", repeat_window_ms=1000.0, write=True
)
GLOBALLY_SCOPED = replace(ZONE_SCOPED, key_scope="all")
HERE, THERE = (next(m for m in FLEET if m.server == name) for name in ("c0", "d0"))


class Windows(unittest.TestCase):
    def effects(self, cls: api.ClassSettings = GLOBALLY_SCOPED) -> Effects:
        effects = Effects({"pay": cls, "files": BASE.classes["big"]})
        effects.begin("pay", "k1", HERE, 100.0)
        return effects

    def test_the_window_starts_with_the_first_attempt_of_the_key(self) -> None:
        effects = self.effects()
        effects.begin("pay", "k1", HERE, 900.0)
        last = 100.0 + 1000.0 - WINDOW_MARGIN_MS
        self.assertTrue(effects.may_begin("pay", "k1", HERE, last - 1.0))
        self.assertFalse(effects.may_begin("pay", "k1", HERE, last))
        self.assertTrue(effects.may_begin("pay", "k2", HERE, last), "another key is another effect")

    def test_a_scoped_key_is_not_repeated_at_a_process_that_may_be_another_one(self) -> None:
        """A process of another cell had come up at the address: the effect ran in both."""
        effects = self.effects(ZONE_SCOPED)
        self.assertTrue(effects.may_begin("pay", "k1", HERE, 200.0, process_is_certain=True))
        self.assertFalse(effects.may_begin("pay", "k1", HERE, 200.0, process_is_certain=False))
        self.assertTrue(effects.may_begin("pay", "k2", HERE, 200.0, process_is_certain=False), "a first run")
        self.assertTrue(self.effects().may_begin("pay", "k1", HERE, 200.0, process_is_certain=False))

    def test_a_scoped_key_that_began_at_an_uncertain_process_is_not_repeated(self) -> None:
        effects = self.effects(ZONE_SCOPED)
        effects.begin("pay", "k2", HERE, 200.0, process_is_certain=False)
        self.assertFalse(effects.may_begin("pay", "k2", HERE, 300.0, process_is_certain=True))

    def test_proof_that_nothing_ran_removes_one_attempt(self) -> None:
        effects = self.effects()
        effects.begin("pay", "k1", HERE, 200.0)
        effects.never_ran("pay", "k1")
        self.assertFalse(effects.may_begin("pay", "k1", HERE, 2000.0), "the other attempt may have run")
        effects.never_ran("pay", "k1")
        self.assertTrue(effects.may_begin("pay", "k1", HERE, 2000.0))

    def test_the_key_scope_is_respected(self) -> None:
        self.assertFalse(self.effects(ZONE_SCOPED).may_begin("pay", "k1", THERE, 200.0))
        self.assertTrue(self.effects().may_begin("pay", "k1", THERE, 200.0))
        cell = self.effects(replace(ZONE_SCOPED, key_scope="cell"))
        self.assertTrue(cell.may_begin("pay", "k1", HERE, 200.0))
        self.assertFalse(cell.may_begin("pay", "k1", replace(HERE, cell=7), 200.0))

    def test_whether_a_client_may_retry_safely(self) -> None:
        self.assertTrue(self.effects().retry_is_safe("pay", "k1", 200.0))
        self.assertFalse(self.effects().retry_is_safe("pay", "k1", 5000.0))
        self.assertFalse(self.effects(ZONE_SCOPED).retry_is_safe("pay", "k1", 200.0))
        self.assertTrue(self.effects(ZONE_SCOPED).retry_is_safe("pay", "new", 200.0))

    def test_keys_are_forgotten_after_their_last_possible_retry_and_at_a_bound(self) -> None:
        effects = self.effects()
        effects.begin("pay", "k2", HERE, 100.0 + 1000.0 + 4.0 * 3000.0)
        self.assertEqual(list(effects.unconfirmed), [("pay", "k2")])
        for number in range(MAX_KEYS + 5):
            effects.begin("pay", f"n{number}", HERE, 14_000.0)
        self.assertEqual(len(effects.unconfirmed), MAX_KEYS)


class FirstByte(unittest.TestCase):
    def test_a_repeat_that_waited_past_its_window_is_not_sent(self) -> None:
        """The window was checked when the attempt was decided, not when its first byte was sent."""
        bench = Bench()
        (get,) = gets(bench.ask(1, name="keyed"))
        self.assertIsNotNone(bench.router.recheck_send(1, 0, 5.0))
        bench.now = 100.0
        (repeat,) = gets(bench.end(get, "err"))
        self.assertEqual(repeat.id, 1)
        self.assertIsNotNone(bench.router.recheck_send(1, 1, 500.0))
        self.assertIsNone(bench.router.recheck_send(1, 1, 950.0), "the window is 1 s")


class OnSockets(unittest.TestCase):
    """A class whose window is much shorter than its deadline, and one that may run only once."""

    inherits_listener = False

    def setUp(self) -> None:
        self.gateway = Gateway(self.inherits_listener)
        self.addCleanup(self.gateway.stop)
        config = copy.deepcopy(self.gateway.config)
        charge = next(cls for cls in config["settings"]["classes"] if cls["name"] == "charge")
        charge["repeat_window_ms"] = 300.0
        once = charge | {"name": "stamp", "effect": "once"}
        config["settings"]["classes"].append(once)
        config["settings"]["family_info"]["uncached"].append(True)
        for key in ("lifetime_by_class_ms", "grace_for_ms", "old_copy_worth"):
            if key in config["settings"]["family_info"]:
                config["settings"]["family_info"][key].append(0.0)
        self.gateway.configure(json.dumps(config))
        self.gateway.kill()
        self.gateway.start()
        self.gateway.expect_line("INFO n0 ready")
        self.client = self.gateway.client()
        self.addCleanup(self.client.close)

    def open_request(self, stream: int, name: str, **fields: str) -> tuple[Party, bytes]:
        self.client.send_request(stream, b"pay", c=name, **fields)
        cache = self.gateway.server()
        self.addCleanup(cache.close)
        return cache, cache.expect_pull()[0]

    def assert_nothing_forwarded(self, *caches: Party) -> None:
        """Check that nothing was forwarded: the next command is that of a request sent now."""
        self.client.send_request(90, b"pay", c="charge", k="another", i="9" * 16)
        socks = [cache.sock for cache in caches]
        ready = select.select(socks, [], [], 5.0)[0]
        self.assertEqual(len(ready), 1)
        (cache,) = (cache for cache in caches if cache.sock is ready[0])
        self.assertEqual(cache.expect_pull()[0], b"9" * 16)

    def test_a_clients_retry_past_the_window_of_its_first_try_is_not_sent(self) -> None:
        """Each request had its own window: the effect ran again after the servers had forgotten its key."""
        cache, name = self.open_request(1, "charge", k="5c0f")
        cache.send(answer(name, b"BROKE"))  # it may have run; within the window it is retried at once
        other = self.gateway.server()
        self.addCleanup(other.close)
        self.assertEqual(other.expect_pull()[0], name)
        self.client.send(frames.head(frames.GIVE_UP, 1, 0))
        other.expect(lambda got: got == [b"KILL", name])
        self.client.sock.settimeout(0.4)
        with self.assertRaises(TimeoutError):
            self.client.sock.recv(1)  # the window passes
        self.client.sock.settimeout(5.0)
        self.client.send_request(2, b"pay", c="charge", k="5c0f").expect_answer(2, frames.FAILED)
        self.assert_nothing_forwarded(cache, other)

    def test_a_late_second_answer_is_not_matched_to_the_next_attempt(self) -> None:
        """WAIT arrived twice: the second one was taken as proof that the repeat had not run either."""
        cache, name = self.open_request(1, "stamp")
        full = answer(name, b"WAIT", b"-")
        cache.send(full)
        other = self.gateway.server()  # the repeat goes on another connection
        self.addCleanup(other.close)
        self.assertEqual(other.expect_pull()[0], name)
        cache.send(full)  # the late second answer, while the repeat runs
        other.send(answer(name, b"DONE", b"-", b"done"))
        self.client.expect_answer(1, frames.SERVED, b"done")

    def test_an_effect_that_may_run_only_once_is_not_sent_again_after_a_reset(self) -> None:
        cache, _ = self.open_request(1, "stamp")
        cache.close()
        self.client.expect_answer(1, frames.FAILED)


class InUpgrades(OnSockets):
    """Effects that the old version has begun, and the new version that their clients come back to."""

    inherits_listener = True

    def start_successor(self) -> None:
        """Start a new version and let it take over."""
        self.new = self.gateway.successor()
        self.addCleanup(self.new.kill)
        self.new.serve_bus_until_ready()
        self.gateway.expect_line("handed over")
        self.client = self.gateway.client()
        self.client.sock.settimeout(1.0)  # a request that is sent on is failed at its deadline only
        self.addCleanup(self.client.close)

    def test_an_id_that_ran_in_the_old_version_does_not_run_in_the_new_one(self) -> None:
        """The new version started with empty tables: the effect took place twice."""
        cache, name = self.open_request(1, "stamp", i="a" * 16)
        first_client = self.client
        self.start_successor()
        first_client.close()
        cache.expect(lambda got: got == [b"KILL", name])
        self.client.send_request(1, b"pay", c="stamp", i="a" * 16).expect_answer(1, frames.FAILED)

    def test_an_id_that_the_old_version_begins_after_the_hand_over_does_not_run_in_the_new_one(self) -> None:
        cache, _ = self.open_request(1, "files", i="f" * 16)  # keeps the connection open
        first_client = self.client
        self.start_successor()
        first_client.send_request(2, b"pay", c="stamp", i="a" * 16)
        self.assertEqual(cache.expect_pull()[0], b"a" * 16)
        self.client.send_request(1, b"pay", c="stamp", i="a" * 16).expect_answer(1, frames.FAILED)

    def test_a_key_past_its_window_in_the_old_version_is_not_sent_by_the_new_one(self) -> None:
        cache, name = self.open_request(1, "charge", k="5c0f")
        self.start_successor()
        time.sleep(0.3)
        self.client.send_request(1, b"pay", c="charge", k="5c0f", i="b" * 16).expect_answer(1, frames.FAILED)


class SharedTables(unittest.TestCase):
    """Two processes of an upgrade and their files."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        classes = {"pay": GLOBALLY_SCOPED, "once": BASE.classes["once"]}
        self.effects = [Effects(classes) for _ in range(2)]
        self.ids = [RequestIds(classes) for _ in range(2)]
        self.shared = [SharedEffects(self.folder, str(n), self.effects[n], self.ids[n]) for n in range(2)]
        for shared in self.shared:
            self.addCleanup(shared.close)

    def meet(self) -> None:
        self.shared[0].follow(["1"])
        self.shared[1].follow(["0"])

    def test_what_was_known_before_and_what_begins_later_is_told(self) -> None:
        self.ids[0].begin("once", "a" * 16)
        self.effects[0].begin("pay", "k1", HERE, 100.0)
        self.meet()
        self.shared[0].publish_id("b" * 16)
        self.shared[0].publish_key("pay", "k2", UnconfirmedEffect(200.0, "z1", 3))
        self.shared[1].read_others()
        self.assertTrue(all(self.ids[1].may_have_run(digit * 16) for digit in "ab"))
        self.assertTrue(self.effects[1].window_passed("pay", "k1", 1_100.0))
        self.assertEqual(self.effects[1].unconfirmed["pay", "k2"].first_sent_ms, 200.0)

    def test_a_key_keeps_its_window_in_a_process_that_started_after_the_clock_was_set_back(self) -> None:
        self.effects[0].begin("pay", "k1", HERE, now_ms())
        self.meet()
        set_back_ms = START_OFFSET_MS - 3_600_000.0
        with patch("hitchtiller.sched.START_OFFSET_MS", set_back_ms):
            other = Effects({"pay": GLOBALLY_SCOPED})
            late = SharedEffects(self.folder, "2", other, RequestIds({}))
            self.addCleanup(late.close)
            late.follow(["0"])
            self.assertFalse(other.window_passed("pay", "k1", now_ms()))
            self.assertTrue(other.window_passed("pay", "k1", now_ms() + GLOBALLY_SCOPED.repeat_window_ms))

    def test_half_a_line_and_lines_that_can_not_be_read_are_no_effects(self) -> None:
        self.meet()
        path = self.folder / "effects-0"
        path.write_bytes(b"0000000002\nid zz\nkey pay k9 soon z1 0\n\xff\nid " + b"c" * 16)
        self.shared[1].read_others()
        self.assertEqual((self.ids[1].attempts, self.effects[1].unconfirmed), ({}, {}))
        with path.open("ab") as file:
            file.write(b"\n")
        self.shared[1].read_others()
        self.assertTrue(self.ids[1].may_have_run("c" * 16))

    def test_names_outside_of_ascii_and_with_spaces_are_told(self) -> None:
        """UnicodeEncodeError ended the task that watches for a successor, and SIGTERM's (review/9)."""
        for table in self.effects:
            table.classes["pago rápido\n"] = ZONE_SCOPED
        self.effects[0].begin("pago rápido\n", "k1", replace(HERE, zone="mérida del río"), 100.0)
        self.meet()
        later = UnconfirmedEffect(200.0, "mérida del río", 3)
        self.shared[0].publish_key("pago rápido\n", "k2", later)
        self.shared[1].read_others()
        told = self.effects[1].unconfirmed
        self.assertEqual(
            [(key, effect.zone) for (_, key), effect in told.items()],
            [("k1", "mérida del río"), ("k2", "mérida del río")],
        )

    def test_a_line_after_half_a_write_is_not_lost(self) -> None:
        """The disk was full in the middle of a line, and the next line continued it: nobody could read it."""
        self.meet()
        write = shared_effects.os.write

        def half_write(descriptor: int, data: bytes) -> int:
            shared_effects.os.write = write
            write(descriptor, data[:5])
            raise OSError(errno.ENOSPC, "no space")

        with patch.object(shared_effects.os, "write", half_write):
            self.shared[0].publish_id("d" * 16)
            self.shared[0].publish_id("e" * 16)
        self.shared[1].read_others()
        self.assertTrue(self.ids[1].may_have_run("e" * 16))

    def test_the_file_is_bounded_and_loses_nothing_that_the_tables_hold(self) -> None:
        self.meet()
        with patch.object(shared_effects, "MAX_FILE_BYTES", 2_000):
            for number in range(500):
                self.ids[0].begin("once", f"{number:016x}")
                self.shared[0].publish_id(f"{number:016x}")
                if number % 7 == 0:
                    self.shared[1].read_others()
        self.shared[1].read_others()
        self.assertTrue(all(self.ids[1].may_have_run(f"{number:016x}") for number in range(500)))

    def test_a_folder_that_fails_stops_the_sharing_not_the_gateway(self) -> None:
        self.meet()
        for call in ("write", "open"):
            with patch.object(shared_effects.os, call, side_effect=OSError(errno.ENOSPC, "no space")):
                self.shared[0].publish_id("d" * 16)
                self.shared[0].follow([])
                self.shared[0].follow(["1"])
                self.shared[0].read_others()
        self.assertTrue(self.shared[0].has_failed)

    def test_the_file_of_a_process_that_has_ended_is_read_and_removed(self) -> None:
        self.meet()
        self.shared[0].publish_id("e" * 16)
        self.shared[0].close()
        self.shared[1].follow([])
        self.assertTrue(self.ids[1].may_have_run("e" * 16))
        self.assertEqual(list(self.folder.iterdir()), [])
