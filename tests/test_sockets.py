"""Scenarios on sockets with one gateway process."""

import contextlib
import json
import socket
import unittest
from typing import ClassVar

from scenario import Gateway, Party, answer, wait

from hitchtiller.codec import frames


class Scenario(unittest.TestCase):
    """A test with a running gateway and a client."""

    limits: ClassVar[dict[str, int]] = {}
    inherits_listener = False

    def setUp(self) -> None:
        self.gateway = Gateway(self.inherits_listener, **self.limits)
        self.addCleanup(self.gateway.stop)
        self.client = self.gateway.client()
        self.addCleanup(self.client.close)

    def open_request(self, stream: int = 1, server: str = "cache", **fields: str) -> tuple[Party, bytes]:
        """Send a request and receive its PULL; return the connection to the server and the request id."""
        self.client.send_request(stream, **fields)
        cache = self.gateway.server(server)
        self.addCleanup(cache.close)
        return cache, cache.expect_pull()[0]


class Answers(Scenario):
    def test_a_served_body_passes_unaltered(self) -> None:
        self.client.send_request(1)
        cache = self.gateway.server()
        name, fields, _ = cache.expect_pull()
        self.assertEqual((fields["lane"], fields["name"]), ("files", f"{42:016x}"))
        self.assertEqual(fields["up"], "s-00000001")
        body = bytes(range(256)) * 900 + b"\r\n$5\r\n"
        cache.send(answer(name, b"DONE", b"rev=aa,since=1", body))
        self.client.expect_answer(1, frames.SERVED, body)

    def test_answers_may_arrive_in_any_order(self) -> None:
        cache, first = self.open_request()
        self.client.send_request(2)
        second = cache.expect_pull()[0]
        cache.send(answer(second, b"DONE", body=b"b") + answer(first, b"DONE", body=b"a"))
        self.client.expect_answer(2, frames.SERVED, b"b")
        self.client.expect_answer(1, frames.SERVED, b"a")

    def test_an_unchanged_copy_is_reported_as_unchanged(self) -> None:
        self.client.send_request(1, ver="aa")
        cache = self.gateway.server()
        name, fields, _ = cache.expect_pull()
        self.assertEqual(fields["inm"], "aa")
        cache.send(answer(name, b"KEEP", b"rev=aa,since=1"))
        self.assertEqual(self.client.expect_answer(1, frames.SERVED, b"")["unchanged"], "1")

    def test_a_write_carries_its_key_and_body_to_the_origin(self) -> None:
        self.client.send_request(1, b"pay", c="charge", k="5c0f")
        name, fields, body = self.gateway.server().expect_pull()
        self.assertEqual((fields["dedupe"], fields["up"], body), ("5c0f", "s-00000002", b"pay"))

    def test_an_attempt_is_retried_after_a_reset_and_answered_once(self) -> None:
        cache, _ = self.open_request()
        cache.close()
        second = self.gateway.server()
        second.send(answer(second.expect_pull()[0], b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED, b"x")

    def test_a_request_to_a_silent_cache_is_answered_before_its_deadline(self) -> None:
        self.open_request(d="300")
        frame = self.client.expect(lambda got: got is not None and got.stream == 1)
        self.assertIn(frame.payload[0], (frames.REFUSED, frames.FAILED))

    def test_a_give_up_frame_kills_the_attempt(self) -> None:
        cache, name = self.open_request()
        self.client.send(frames.head(frames.GIVE_UP, 1, 0))
        cache.expect(lambda got: got == [b"KILL", name])

    def test_an_id_that_was_given_up_is_sent_again_after_its_kill(self) -> None:
        """On another connection the new PULL could overtake the KILL: under load no answers came any more."""
        cache, name = self.open_request()
        self.client.send(frames.head(frames.GIVE_UP, 1, 0)).send_request(2, i=name.decode())
        cache.expect(lambda got: got == [b"KILL", name])
        self.assertEqual(cache.expect_pull()[0], name)
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(2, frames.SERVED, b"x")

    def test_closing_the_connection_kills_the_attempt(self) -> None:
        cache, name = self.open_request()
        self.client.close()
        cache.expect(lambda got: got == [b"KILL", name])


class InvalidInput(Scenario):
    def test_invalid_requests_fail_and_are_not_forwarded(self) -> None:
        cases: list[dict[str, str]] = [{"c": "none"}, {"d": "soon"}, {"d": "nan"}, {"o": "zz"}, {"m": "-1"}]
        cases += [{"lot": "256"}, {"ver": "a,b=c"}, {"c": "charge"}]
        cases += [{"d": "1_0"}, {"d": "1e3"}, {"m": "\u0663"}, {"m": "9999999"}, {"piece": "-1"}, {"d": "0"}]
        for stream, fields in enumerate(cases, 1):
            self.client.send_request(stream, **fields).expect_answer(stream, frames.FAILED)
        cache, name = self.open_request(99)
        cache.send(answer(name, b"DONE", body=b"x"))  # the valid request is the first that the cache gets
        self.client.expect_answer(99, frames.SERVED, b"x")

    def test_a_stream_number_can_be_used_only_once(self) -> None:
        cache, name = self.open_request()
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED)
        self.client.send_request(1).expect_answer(1, frames.FAILED)

    def test_a_malformed_frame_fails_stream_0_and_all_open_requests_at_once(self) -> None:
        """The open requests of the connection were still served."""
        cache, name = self.open_request()
        self.client.send(b"GET / HTTP/1.1\r\n\r\n").expect_answer(0, frames.FAILED)
        self.client.expect_answer(1, frames.FAILED)
        cache.expect(lambda got: got == [b"KILL", name])
        self.client.expect(lambda got: got is None)
        self.client.close()
        self.gateway.expect_line("code=bad-frame")

    def test_reusing_an_open_stream_number_closes_the_connection(self) -> None:
        cache, name = self.open_request()
        self.client.send_request(1, i="f" * 16).expect_answer(0, frames.FAILED)
        self.client.expect_answer(1, frames.FAILED)
        self.client.expect(lambda got: got is None)

    def test_an_id_that_is_open_on_another_connection_is_not_forwarded(self) -> None:
        cache, name = self.open_request()
        other = self.gateway.client()
        self.addCleanup(other.close)
        other.send_request(1, i=name.decode(), o="f" * 16).expect_answer(1, frames.FAILED)
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED, b"x")

    def test_the_error_answer_is_not_lost_to_a_reset_while_megabytes_arrive(self) -> None:
        self.client.send(b"\xff" * 4 + bytes(8_000_000)).expect_answer(0, frames.FAILED)
        self.client.expect(lambda got: got is None)

    def test_clients_that_send_no_whole_frame_are_closed_and_others_stay(self) -> None:
        cache, name = self.open_request()
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED)
        for part in (b"", b"\0\0\1"):
            other = self.gateway.client()
            self.addCleanup(other.close)
            other.send(part).sock.settimeout(5.0)
            other.expect(lambda got: got is None)
        self.client.send_request(2)
        cache.expect_pull()

    def test_malformed_data_from_a_cache_closes_only_its_connection(self) -> None:
        cache, _ = self.open_request()
        cache.send(b"HTTP/1.1 200 OK\r\n\r\n")
        self.gateway.expect_line("code=junk")
        second = self.gateway.server()
        second.send(answer(second.expect_pull()[0], b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED, b"x")

    def test_an_invalid_answer_closes_its_connection_and_fails_its_jobs(self) -> None:
        """An unknown reply counted as an error of the server, and the connection stayed open."""
        cache, name = self.open_request()
        cases = ((b"DONE", b"rev=aa,since=noise", "cache"), (b"DOME", b"rev=aa,since=1", "parent"))
        for reply, fields, next_server in cases:  # after a second failure the cache is avoided
            cache.send(answer(name, reply, fields, b"x"))
            self.gateway.expect_line("code=junk")
            cache = self.gateway.server(next_server)
            self.addCleanup(cache.close)
            cache.expect_pull()
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED, b"x")

    def test_surplus_answers_are_ignored(self) -> None:
        cache, name = self.open_request()
        valid = answer(name, b"DONE", body=b"x")
        cache.send(answer(b"f" * 16, b"DONE", body=b"y") + valid + valid)
        self.client.expect_answer(1, frames.SERVED, b"x")
        self.client.send_request(2)
        cache.send(answer(cache.expect_pull()[0], b"DONE", body=b"z"))
        self.client.expect_answer(2, frames.SERVED, b"z")

    def test_malformed_data_from_the_bus_closes_only_its_connection(self) -> None:
        self.gateway.subscription().send(b"\xff" * 64)
        self.gateway.expect_line("code=junk")
        self.assertEqual(self.gateway.subscription().sock.recv(8), (1).to_bytes(8, "big"))


class FullGateway(Scenario):
    limits: ClassVar[dict[str, int]] = {"sockets": 120}  # 47 for clients

    def test_a_full_gateway_closes_silent_clients_first_then_the_longest_idle(self) -> None:
        """Silent connections used up the limit, and regular clients were rejected."""
        cache, name = self.open_request()
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED)
        silent = [self.gateway.client() for _ in range(60)]
        silent[0].expect(lambda got: got is None)
        for stream, client in ((2, self.client), (2, silent[-1])):
            client.send_request(stream, i=f"{id(client):016x}")
            cache.send(answer(cache.expect_pull()[0], b"DONE", body=b"x"))
            client.expect_answer(stream, frames.SERVED)
        for client in silent:
            client.close()


class Lifecycle(Scenario):
    def test_a_ready_frame_is_answered(self) -> None:
        self.client.send(frames.head(frames.READY, 0, 1) + b"\0")
        self.client.expect(lambda got: got.kind == frames.READY_ANSWER and got.payload[0] == frames.SERVED)

    def test_a_draining_cache_gets_no_new_requests(self) -> None:
        record = (
            (0).to_bytes(4, "big")
            + bytes([127, 0, 0, 1])
            + self.gateway.caches["cache"].getsockname()[1].to_bytes(2, "big")
            + bytes([1, 1, 0, 0, 0])
            + (8000).to_bytes(4, "big")
            + bytes(8)
        )
        frame = (2).to_bytes(8, "big") + b"\x02" + record
        bus = self.gateway.subscription()
        bus.send(len(frame).to_bytes(4, "big") + frame + b"\xff" * 64)
        self.gateway.expect_line("code=junk last=2")  # the malformed bytes after it show that it was applied
        self.client.send_request(1)
        self.gateway.server("parent").expect_pull()  # the parent directly: the zone has no other cache

    def test_sigterm_answers_open_requests_and_exits_with_0(self) -> None:
        cache, name = self.open_request()
        self.gateway.terminate()
        self.client.expect(lambda got: got.kind == frames.GOING and got.stream == 0)
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED, b"x")
        self.assertEqual(self.gateway.process.wait(10.0), 0)

    def test_a_connection_made_just_after_sigterm_is_served(self) -> None:
        self.gateway.terminate()
        self.gateway.expect_line("told to stop")
        wait(0.1)
        late = self.gateway.client()
        self.addCleanup(late.close)
        late.send_request(1)
        cache = self.gateway.server()
        cache.send(answer(cache.expect_pull()[0], b"DONE", body=b"x"))
        late.expect(lambda got: got is not None)

    def test_sigterm_fails_open_requests_before_the_process_may_be_killed(self) -> None:
        """The gateway waited 6 s for the last answer, but SIGKILL may come after 3.7 s."""
        self.open_request(d="5000", m="100000")  # large enough that a silent server is not suspect yet
        self.gateway.terminate()
        self.client.expect(lambda got: got.kind == frames.GOING)
        self.client.sock.settimeout(4.5)
        self.client.expect_answer(1, frames.FAILED)
        self.assertEqual(self.gateway.process.wait(5.0), 0)


class NewConfiguration(Scenario):
    def test_sighup_switches_the_bus_and_leaves_open_requests_alone(self) -> None:
        """SIGHUP used to end the process."""
        old = self.gateway.subscription()
        self.assertEqual(old.sock.recv(8), (1).to_bytes(8, "big"))
        # Ends within the next event.
        old.send((9).to_bytes(4, "big") + (7).to_bytes(8, "big") + b"\0" + b"\0\0")
        cache, name = self.open_request()
        with socket.create_server(("127.0.0.1", 0)) as bus:
            address = "127.0.0.1:%d" % bus.getsockname()[1]
            self.gateway.configure(json.dumps(self.gateway.config | {"bus": address, "seed": "2"}))
            self.gateway.send_sighup()
            self.gateway.expect_line("not changed before the next start: seed")
            bus.settimeout(5.0)
            new = bus.accept()[0]
            self.addCleanup(new.close)
            self.assertEqual(new.recv(8), (7).to_bytes(8, "big"))
        self.assertEqual(old.sock.recv(1), b"")
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED, b"x")

    def test_an_invalid_file_is_logged_and_changes_nothing(self) -> None:
        self.gateway.configure("{")
        self.gateway.send_sighup()
        self.gateway.expect_line("configuration not taken")
        cache, name = self.open_request()
        cache.send(answer(name, b"DONE", body=b"x"))
        self.client.expect_answer(1, frames.SERVED, b"x")

    def test_a_bus_that_stalls_in_the_middle_of_an_event_is_reconnected(self) -> None:
        """Every single byte used to count as a heartbeat."""
        bus = self.gateway.subscription()
        bus.sock.recv(8)
        bus.send((99).to_bytes(4, "big"))
        self.gateway.bus.settimeout(0.25)
        for _ in range(12):
            bus.send(b"\0")
            with contextlib.suppress(TimeoutError):
                return self.gateway.bus.accept()[0].close()
        self.fail("the gateway did not connect to the bus again")
