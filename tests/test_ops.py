"""Scenarios of daily operation: operators' calls, drains, hold-outs, statistics and new versions."""

import errno
import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from dataclasses import replace
from pathlib import Path
from unittest.mock import Mock, patch

from conftest import BASE, FLEET
from scenario import ROOT, answer, wait
from test_engine import ManualClock, RecordingBackEnd
from test_sockets import Scenario

from hitchtiller import interface as api
from hitchtiller.__main__ import create_marker, shared_folder
from hitchtiller.codec import frames
from hitchtiller.decide import Router
from hitchtiller.engine import Engine
from hitchtiller.exchange import Attempt, ClientRequest
from hitchtiller.front.leave import HANDED_OVER
from hitchtiller.front.server import Front
from hitchtiller.limits import buffer_bytes, connection_limits
from hitchtiller.news import ListedServer, Topology
from hitchtiller.ops.control import MAX_CALL_BYTES, MAX_CALLERS, CallError
from hitchtiller.ops.holdouts import FILE_NAME, HoldOuts
from hitchtiller.ops.sign import READY, STARTING, ProcessMarker
from hitchtiller.ops.stats import ANSWER_KINDS, Stats
from hitchtiller.ops.upgrade import Upgrade
from hitchtiller.peers import Peers
from hitchtiller.sched import Scheduler


class ControlCalls(Scenario):
    def test_a_call_is_one_line_answered_once_before_the_close(self) -> None:
        for line in ("ready", "ready\r", " ready "):
            self.assertEqual(self.gateway.call(line), ["+OK ready"])
        self.gateway.expect_line("code=answered call='ready' answer='+OK ready'")

    def test_an_invalid_call_gets_a_reason(self) -> None:
        for line in ("", "Ready", "ready now", "disable-server", "x" * (MAX_CALL_BYTES + 50), "\xff\0"):
            (reply,) = self.gateway.call(line)
            self.assertRegex(reply, "^-ERR .")

    def test_the_end_of_the_connection_ends_a_line(self) -> None:
        operator = self.gateway.operator().send(b"ready")
        operator.sock.shutdown(socket.SHUT_WR)
        operator.expect(lambda got: got == "+OK ready")
        operator.close()

    def test_callers_that_hold_connections_do_not_delay_others(self) -> None:
        """Callers may hold a connection for 4 s; at the limit the one waiting longest is closed."""
        silent_callers = [self.gateway.operator().send(b"rea") for _ in range(MAX_CALLERS)]
        self.assertEqual(self.gateway.call("ready"), ["+OK ready"])
        self.assertIsNone(silent_callers[0].expect())
        silent_callers[-1].send(b"dy\n").expect(lambda got: got == "+OK ready")
        for caller in silent_callers:
            caller.close()


class UrgentTasks(unittest.TestCase):
    def test_urgent_tasks_run_before_queued_client_work(self) -> None:
        sched, order = Scheduler(), list[str]()
        for name in ("client", "client"):
            sched.spawn(order.append, name)
        sched.spawn(order.append, "operator", urgent=True)
        sched.run_once()
        self.assertEqual(order, ["operator", "client", "client"])
        self.assertFalse(sched.urgent_tasks)


class Drain(Scenario):
    def check_readiness(self, code: int) -> None:
        """Probe readiness on a separate connection, as the platform's front does."""
        front = self.gateway.client().send(frames.head(frames.READY, 0, 1) + b"\0")
        front.expect(lambda got: got.kind == frames.READY_ANSWER and (got.payload[0] == 0) == (code == 0))
        front.close()

    def test_a_draining_gateway_is_not_ready_finishes_its_requests_and_keeps_listening(self) -> None:
        """A gateway that reported ready in a drain broke the limit on lost requests 4 s after the call."""
        # so large that a silent server is not suspected yet
        cache, name = self.open_request(m="100000", d="5000")
        idle_client = self.gateway.client()
        self.assertEqual(self.gateway.call("drain"), ["+OK drained"])
        self.assertEqual(self.gateway.call("ready"), ["-ERR drained"])
        self.check_readiness(frames.REFUSED)
        for client in (self.client, idle_client):
            client.expect(lambda got: got.kind == frames.GOING)
        idle_client.expect(lambda got: got is None)
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED, b"x")
        self.client.expect(lambda got: got is None)
        self.check_readiness(frames.REFUSED)
        for _ in range(2):
            self.assertEqual(self.gateway.call("resume"), ["+OK serving"])
        self.check_readiness(frames.SERVED)
        second_client = self.gateway.client().send_request(1)
        cache.send(answer(cache.expect_pull()[0], b"DONE", body=b"x"))
        second_client.expect_answer(1, frames.SERVED)
        for client in (idle_client, second_client):
            client.close()

    def test_a_late_request_during_a_drain_is_refused_and_its_connection_closed(self) -> None:
        self.gateway.call("drain")
        wait(1.8)
        late_client = self.gateway.client().send_request(1, i="f" * 16)
        frame = late_client.expect(lambda got: got.kind != frames.GOING)
        self.assertEqual((frame.kind, frame.payload[0]), (frames.ANSWER, frames.REFUSED))
        late_client.sock.settimeout(1.5)
        while late_client.expect() is not None:
            pass
        late_client.close()

    def test_sigterm_and_a_drain_wait_for_the_rest_of_a_request(self) -> None:
        """On a day with slow senders and upgrades the rest of 17 requests arrived at closed connections."""
        payload = frames.write_fields({"c": "files", "i": "a" * 16, "d": "2000", "o": "b" * 16, "m": "10"})
        whole = frames.head(frames.REQUEST, 1, len(payload)) + payload
        for leave in (lambda: self.gateway.call("drain"), self.gateway.terminate):
            client = self.gateway.client().send(whole[:20])
            self.addCleanup(client.close)
            leave()
            client.expect(lambda got: got.kind == frames.GOING)
            wait(0.6)
            client.send(whole[20:])
            cache = self.gateway.server()
            self.addCleanup(cache.close)
            cache.send(answer(cache.expect_pull()[0], b"DONE", body=b"x"))
            client.expect_answer(1, frames.SERVED, b"x")
            cache.close()
            self.gateway.call("resume")

    def test_sigterm_while_drained_ends_with_status_0(self) -> None:
        self.gateway.call("drain")
        self.gateway.terminate()
        self.gateway.expect_line("told to stop")
        self.assertEqual(self.gateway.call("resume"), ["-ERR stopping"])
        self.assertEqual(self.gateway.process.wait(10.0), 0)


class HoldOutSet(unittest.TestCase):
    """Hold-outs: a set applied to the bus's list, seen by the decisions as draining."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.clock, self.back_end = ManualClock(), RecordingBackEnd()
        self.engine = Engine(Router(BASE, 7), self.clock, self.back_end, lambda peer, note: None)
        self.holdouts = HoldOuts(self.folder, self.engine.on_bus_event, "origin")
        self.news(*FLEET, whole=True)
        self.member = FLEET[0]

    def news(self, *members: api.Member, whole: bool = False) -> None:
        self.holdouts.on_bus_event(Topology(tuple(ListedServer(m, ("127.0.0.1", 1)) for m in members), whole))

    def state(self, server: str = "c0") -> str:
        return self.engine.router.nodes[server].member.state

    def ask(self, number: int) -> Attempt:
        ask = ClientRequest(
            f"{number:016x}", "small", f"{number:016x}", number, self.clock.now + 900.0, size_kb=50.0
        )
        self.engine.accept(ask, lambda answer: None)
        return self.back_end.sent[-1]

    def test_a_hold_out_lasts_through_bus_events_until_it_is_ended(self) -> None:
        for _ in range(2):
            self.holdouts.disable("c0")
        gone, back = replace(self.member, state="DELETED"), replace(self.member, started_ms=900.0)
        for news, whole in (((self.member,), False), (FLEET, True), ((gone,), False), ((back,), False)):
            self.news(*news, whole=whole)
            if news != (gone,):
                self.assertEqual(self.state(), "DRAINING")
        self.assertFalse([number for number in range(60) if self.ask(number).get.server == "c0"])
        self.holdouts.enable("c0")
        self.assertEqual(self.engine.router.nodes["c0"].member, back)  # cold, since it restarted meanwhile

    def test_a_hold_out_also_bars_sources_and_unsent_jobs(self) -> None:
        for name in ("server", "source"):
            attempt = self.ask(100)
            self.holdouts.disable(getattr(attempt.get, name))
            self.assertIsNone(attempt.authorize(attempt))
            self.engine.client_left(attempt.exchange)

    def test_an_earlier_failure_score_does_not_outlast_a_hold_out(self) -> None:
        node = self.engine.router.nodes["c0"]
        node.failure_score, node.ejected_until_ms, node.on_trial = 0.9, self.clock.now + 60_000.0, True
        self.holdouts.disable("c0")
        self.holdouts.enable("c0")
        self.assertTrue(self.engine.router.is_usable(self.engine.router.nodes["c0"]))

    def test_unknown_ids_and_the_origin_are_rejected_but_deleted_servers_are_not(self) -> None:
        for call in (self.holdouts.disable, self.holdouts.enable):
            with self.assertRaisesRegex(CallError, "unknown"):
                call("c9")
        with self.assertRaisesRegex(CallError, "origin"):
            self.holdouts.disable("o")
        self.holdouts.disable("c0")
        self.news(replace(self.member, state="DELETED"))
        self.holdouts.enable("c0")
        self.news(self.member)
        self.assertEqual(self.state(), "SERVING")

    def test_a_hold_out_is_stored_and_followed_by_other_processes(self) -> None:
        other = HoldOuts(self.folder, lambda event: None)
        self.holdouts.disable("c0")
        self.assertEqual(HoldOuts(self.folder, lambda event: None).held_out, {"c0"})
        other.on_bus_event(Topology((ListedServer(self.member, ("127.0.0.1", 1)),), whole=True))
        other.disable("c0")  # it has not polled yet
        other.enable("c0")
        self.holdouts.reload()
        self.assertEqual(self.state(), "SERVING")

    def test_a_file_of_other_bytes_than_text_changes_nothing(self) -> None:
        """Half a write of another program ended the task that follows the file, or the start."""
        with tempfile.TemporaryDirectory() as name:
            (Path(name) / FILE_NAME).write_bytes(b'{"out": ["\xff')
            self.assertEqual(HoldOuts(Path(name), lambda event: None).held_out, frozenset())

    def test_a_damaged_file_changes_nothing_and_a_failed_write_is_an_error(self) -> None:
        self.holdouts.disable("c0")
        for text in ("{", "[]", '{"out": [1]}'):
            (self.folder / FILE_NAME).write_text(text)
            self.holdouts.reload()
            self.assertEqual(self.holdouts.held_out, {"c0"})
        self.holdouts.folder = self.folder / "gone"
        with self.assertRaisesRegex(CallError, "kept"):
            self.holdouts.disable("c1")
        self.assertEqual(self.state("c1"), "SERVING")


class Statistics(Scenario):
    def read_statistics(self) -> dict[str, str]:
        first, *lines, last = self.gateway.call("show-stat")
        self.assertEqual((first[:3], last), ("+OK", "."))
        return dict(line.removeprefix("svc.").split(":") for line in lines)

    def test_each_figure_is_one_line_whatever_the_name_of_its_class(self) -> None:
        """A line feed in the name of a class parted its figures, and the tools could not read them."""
        lines = Stats(["dos\r\nlíneas", "una línea", "\ud800"]).lines()
        self.assertTrue(all(len(line.splitlines()) == 1 for line in lines))
        self.assertIn("svc.served.una línea:0|c", lines)
        "\n".join(lines).encode()

    def test_known_traffic_gives_exact_statistics(self) -> None:
        """Requests refused before the decisions count too; those of clients that left do not."""
        cache, name = self.open_request()
        start = {f"{kind}.{cls}": "0|c" for kind in ANSWER_KINDS for cls in ("files", "charge")}
        levels = {"in_flight": "1|g", "station_caches_known": "3|g", "station_caches_excluded": "0|g"}
        first, second = (  # memory may change from one call to the next
            {name: value for name, value in read.items() if not name.startswith("memory.")}
            for read in (self.read_statistics(), self.read_statistics())
        )
        self.assertEqual(first, second | start | {"attempts": "1|c"} | levels)
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED)
        self.client.send_request(2, m="soon").expect_answer(2, frames.FAILED)  # malformed
        self.client.send_request(1).expect_answer(1, frames.FAILED)  # its stream number was used before
        self.client.send_request(3, c="none").expect_answer(3, frames.FAILED)  # of an unknown class
        self.client.send_request(4, i="f" * 16)
        cache.expect_pull()
        self.client.send(frames.head(frames.GIVE_UP, 4, 0))
        cache.expect(lambda got: got[0] == b"KILL")
        self.client.send_request(5, d="300")  # never answered by the cache
        self.client.expect(lambda got: got.stream == 5)
        self.gateway.call("disable-server s-00000001")
        self.gateway.call("drain")
        wait(1.8)
        late_client = self.gateway.client().send_request(1, i="e" * 16)  # refused by the front
        late_client.expect(lambda got: got.kind == frames.ANSWER)
        late_client.close()
        statistics = self.read_statistics()
        ends = [int(statistics[f"{kind}.files"].split("|")[0]) for kind in ANSWER_KINDS]
        self.assertEqual(ends, [1, 2, 2])
        self.assertEqual(statistics["attempts"], "3|c")
        self.assertEqual((statistics["in_flight"], statistics["station_caches_excluded"]), ("0|g", "1|g"))


class ProcessMarkers(unittest.TestCase):
    def test_a_process_that_starts_after_the_clock_was_set_back_is_the_younger_one(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            old, start_ns = ProcessMarker(Path(name)), time.time_ns()
            self.addCleanup(old.remove)
            with patch("time.time_ns", lambda: start_ns - 3_600_000_000_000):
                new = ProcessMarker(Path(name))
            self.addCleanup(new.remove)
            self.assertLess(old.name, new.name)

    def test_live_processes_are_distinguished_from_ended_ones(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "gateway-00000000000000000001-1").write_text(READY)  # no process holds its lock
            old, new = ProcessMarker(folder), ProcessMarker(folder)
            self.addCleanup(old.remove)
            self.assertLess(old.name, new.name)
            self.assertEqual(
                (new.find_others(), old.find_others()), ({old.name: STARTING}, {new.name: STARTING})
            )
            new.set_state(READY)
            self.assertEqual(old.find_others(), {new.name: READY})
            self.assertEqual(len(list(folder.iterdir())), 2)
            new.file.close()  # as a kill does
            self.assertEqual(old.find_others(), {})

    def test_a_marker_that_can_not_be_read_hides_no_other_process(self) -> None:
        """The whole look-up failed each time, so that a successor was never seen."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            old, new = ProcessMarker(folder), ProcessMarker(folder)
            for marker in (old, new):
                self.addCleanup(marker.remove)
            (folder / "gateway-stray").mkdir()
            os.pwrite(new.file.fileno(), b"\xff\xfe", 0)  # half a write
            self.assertEqual(list(old.find_others()), [new.name])
            with patch.object(Path, "open", side_effect=OSError(errno.EMFILE, "too many")):
                self.assertEqual(old.find_others({new.name: READY}), {new.name: READY})

    def test_a_full_disk_at_the_start_costs_the_marker_not_the_gateway(self) -> None:
        with (
            tempfile.TemporaryDirectory() as name,
            patch.object(Path, "open", side_effect=OSError(errno.ENOSPC, "no space")),
        ):
            self.assertIsNone(create_marker(Path(name)))

    def test_two_versions_bind_the_peer_port_and_the_new_one_receives(self) -> None:
        """The new version used to fail with `Address already in use`."""
        old = Peers(Scheduler(), ("127.0.0.1", 0), ())
        new = Peers(Scheduler(), old.sock.getsockname(), ())
        for peers in (old, new):
            self.addCleanup(peers.sock.close)
        other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(other.close)
        other.sendto(b"x", old.sock.getsockname())
        self.assertEqual(new.sock.recv(9), b"x")


class ResourceLimits(unittest.TestCase):
    def test_the_program_does_not_import_unused_heavy_modules(self) -> None:
        """Two processes of 15 MB each at their start crashed a gateway limited to 32 MB."""
        code = "import sys, hitchtiller.__main__; print({'asyncio', 'ssl'} & {*sys.modules}); import asyncio"
        command = [sys.executable, "-c", code]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
        self.assertEqual(done.stdout.strip(), "set()")

    def test_the_platforms_gateway_does_not_load_libcrypto(self) -> None:
        """3.5 MB in each of two processes, for a hash function that needs none of it."""
        code = "import sys, hitchtiller.__main__, hitchtiller.store.light; print('_hashlib' in sys.modules)"
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.strip(), "False")

    def test_the_descriptors_of_two_processes_fit_the_limit(self) -> None:
        """Each process used to hold a third for clients and the rest for servers: 540 descriptors of 384."""
        for limit in (256, 384, 1024):
            old, new = connection_limits(limit, True, False), connection_limits(limit, True, True)
            self.assertLessEqual(sum(old) + sum(new) + 2 * 24, limit)
            self.assertLessEqual(max(old[0], new[0]), connection_limits(limit, False, False)[0])

    def test_an_unwritable_shared_folder_does_not_prevent_serving(self) -> None:
        """The program used to exit with status 2."""
        self.assertIsNone(shared_folder("/nowhere/at/all"))
        self.assertIsNone(shared_folder(""))
        self.assertEqual(shared_folder(str(ROOT)), ROOT)

    def test_the_buffers_of_two_processes_fit_the_memory_limit(self) -> None:
        for memory in (32.0, 80.0, 192.0):
            alone, two = buffer_bytes(memory, two_processes=False), buffer_bytes(memory, two_processes=True)
            self.assertLessEqual(2 * two, alone)
            self.assertLessEqual(2 * (2 * two / 1e6 + 14.0), memory)  # half of the rest is for copies


class VersionUpgrade(Scenario):
    inherits_listener = True

    def start_upgrade(self, server: str = "cache") -> None:
        """Start a new version beside the old one, which has an open request."""
        self.cache, self.name = self.open_request(server=server, m="100000", d="5000")
        self.new = self.gateway.successor()
        self.addCleanup(self.new.kill)

    def complete_bus_backlog(self) -> None:
        """Let the bus tell the new version that its backlog is complete."""
        self.assertEqual(self.new.call("ready"), ["-ERR the event bus is not followed yet"])
        self.new.serve_bus_until_ready()
        self.gateway.expect_line("handed over")

    def test_a_new_version_takes_over_after_the_whole_bus_backlog(self) -> None:
        self.start_upgrade()
        early_client = self.gateway.client().send_request(1, i="e" * 16)
        self.cache.expect_pull()  # from the old version: the new one does not accept yet
        self.complete_bus_backlog()
        for client in (self.client, early_client):
            client.expect(lambda got: got.kind == frames.GOING)
        late_client = self.gateway.client().send_request(1, i="f" * 16)
        cache = self.gateway.server()
        cache.send(answer(cache.expect_pull()[0], b"DONE", body=b"y"))  # on a connection of the new version
        late_client.expect_answer(1, frames.SERVED, b"y")
        for client, name in ((self.client, self.name), (early_client, b"e" * 16)):
            self.cache.send(answer(name, b"DONE", body=b"x"))
            client.expect_answer(1, frames.SERVED, b"x")
            client.expect(lambda got: got is None)
            client.close()
        self.assertEqual(self.gateway.process.wait(10.0), 0)
        self.assertEqual(self.new.call("ready"), ["+OK ready"])
        late_client.close()

    def test_the_old_version_serves_again_if_the_new_one_ends(self) -> None:
        self.start_upgrade()
        self.complete_bus_backlog()
        self.new.kill()
        self.gateway.expect_line("serving again")
        self.assertEqual(self.gateway.call("ready"), ["+OK ready"])
        late_client = self.gateway.client().send_request(1, i="f" * 16)
        self.assertEqual(self.cache.expect_pull()[0], b"f" * 16)
        late_client.close()

    def make_upgrade(self, folder: Path) -> Upgrade:
        engine = Engine(Router(BASE, 7), ManualClock(), RecordingBackEnd(), lambda *_: None)
        front = Front(Scheduler(), engine, BASE, 4, 1000)
        self.addCleanup(front.listener.close)
        marker = ProcessMarker(folder)
        self.addCleanup(marker.remove)
        return Upgrade(front.sched, marker, front, lambda whole: True, lambda two, younger: None)

    def test_sigterm_begins_the_stop_whatever_fails_in_the_poll_before_it(self) -> None:
        """A name outside of ASCII ended the poll, and the stop never began (review/9)."""
        with tempfile.TemporaryDirectory() as name:
            upgrade = self.make_upgrade(Path(name))
            with (
                patch.object(upgrade, "poll", side_effect=UnicodeError("a fault")),
                patch.object(upgrade.front.leave, "stop") as stop,
            ):
                upgrade.stop()
            stop.assert_called_once()

    def test_a_step_of_the_poll_that_fails_keeps_no_successor_from_taking_over(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            upgrade = self.make_upgrade(Path(name))
            new = ProcessMarker(Path(name))
            self.addCleanup(new.remove)
            new.set_state(READY)
            with (
                patch.object(upgrade, "_share_effects", side_effect=UnicodeError("a fault")),
                patch.object(upgrade, "apply_limits", side_effect=RuntimeError("a fault")),
            ):
                upgrade.poll()
            self.assertEqual(upgrade.front.state, HANDED_OVER)

    def test_being_ready_is_told_again_until_the_folder_takes_it(self) -> None:
        """A full disk at that moment kept the older process from ever handing over."""
        with tempfile.TemporaryDirectory() as name:
            upgrade, other = self.make_upgrade(Path(name)), ProcessMarker(Path(name))
            self.addCleanup(other.remove)
            upgrade.front.engine.router.nodes["c"] = Mock()
            with patch("os.pwrite", side_effect=OSError(errno.ENOSPC, "no space")):
                upgrade.poll()
            self.assertTrue(upgrade.is_ready)
            self.assertEqual(list(other.find_others().values()), [STARTING])
            upgrade.poll()
            self.assertEqual(list(other.find_others().values()), [READY])

    def test_sigterm_just_after_the_successor_is_ready_hands_over_first(self) -> None:
        """SIGTERM 10 ms after the successor was ready, before the next poll, let both accept for 0.45 s."""
        with tempfile.TemporaryDirectory() as name:
            engine = Engine(Router(BASE, 7), ManualClock(), RecordingBackEnd(), lambda *_: None)
            front = Front(Scheduler(), engine, BASE, 4, 1000)
            self.addCleanup(front.listener.close)
            old = ProcessMarker(Path(name))
            upgrade = Upgrade(front.sched, old, front, lambda whole: True, lambda two, younger: None)
            new = ProcessMarker(Path(name))
            new.set_state(READY)
            with patch.object(front.leave, "stop"):
                upgrade.stop()
            self.assertFalse(front.accepting)
            old.remove()
            new.remove()

    def test_hold_outs_apply_to_the_new_version_and_either_version_can_end_them(self) -> None:
        self.assertRegex(self.gateway.call("disable-server s-00000009")[0], "^-ERR unknown")
        self.assertRegex(self.gateway.call("disable-server s-00000000")[0], "^.OK")
        self.start_upgrade("parent")  # sent to the parent, as the zone has no other cache
        self.complete_bus_backlog()
        late_client = self.gateway.client().send_request(1, i="f" * 16)
        self.gateway.server("parent").expect_pull()
        self.gateway.call("enable-server s-00000000")  # on the old version's control port
        self.new.expect_line("s-00000000 given back")
        late_client.send_request(2, i="e" * 16)
        self.gateway.server().expect_pull()
        late_client.close()

    def test_sigterm_after_the_hand_over_answers_open_requests(self) -> None:
        self.start_upgrade()
        self.complete_bus_backlog()
        self.gateway.terminate()
        self.cache.send(answer(self.name, b"DONE", body=b"x"))
        self.client.expect(lambda got: got.kind == frames.GOING)
        self.client.expect_answer(1, frames.SERVED, b"x")
        self.assertEqual(self.gateway.process.wait(10.0), 0)
        late_client = self.gateway.client().send_request(
            1, i="f" * 16
        )  # the end of the old process did not shut down the shared listener
        self.gateway.server().expect_pull()
        late_client.close()
