"""The codecs, fed byte by byte and with malformed input."""

import unittest

from hitchtiller.codec import frames, resp
from hitchtiller.codec.bus import BusError, BusReader
from hitchtiller.front.stream_numbers import StreamNumbers
from hitchtiller.news import PurgeNotice, Topology


class Frames(unittest.TestCase):
    def test_frames_are_decoded_from_single_bytes(self) -> None:
        payload = frames.write_fields({"c": "files", "o": "2a"}) + b"body"
        data = (frames.head(7, 1, len(payload)) + payload) * 2
        reader = frames.FrameReader()
        got = [frame for n in range(len(data)) for frame in reader.feed(data[n : n + 1])]
        self.assertEqual([(f.kind, f.stream, f.payload) for f in got], [(7, 1, payload)] * 2)

    def test_a_payload_over_the_limit_is_dropped_and_its_frame_is_yielded(self) -> None:
        long, short = frames.head(7, 1, 5000) + bytes(5000), frames.head(9, 2, 0)
        data = short + long + long + short
        for step in (1, 8, 9, 10, 4999, len(data)):
            reader = frames.FrameReader(4999)
            got = []
            for start in range(0, len(data), step):
                got += list(reader.feed(data[start : start + step]))
                self.assertLess(len(reader.buffer), frames.HEAD.size + 1)
            self.assertEqual(
                [(f.kind, f.stream, f.payload) for f in got], [(9, 2, b""), *[(7, 1, b"")] * 2, (9, 2, b"")]
            )
            self.assertEqual([f.dropped for f in got], [None, *[frames.Dropped.TOO_LONG] * 2, None])
            self.assertFalse(reader.in_frame)

    def test_a_partial_payload_that_is_dropped_does_not_shift_the_frames_behind_it(self) -> None:
        data = frames.head(7, 1, 5000) + bytes(5000) + frames.head(9, 2, 0)
        for cut in range(frames.HEAD.size, 5008, 101):
            reader = frames.FrameReader()
            self.assertEqual(list(reader.feed(data[:cut])), [])
            reader.drop_partial()
            self.assertEqual((len(reader.buffer), reader.arrived_bytes), (0, cut))
            got = list(reader.feed(data[cut:]))
            self.assertEqual([(f.stream, f.dropped) for f in got], [(1, frames.Dropped.NO_ROOM), (2, None)])

    def test_lengths_out_of_bounds_are_rejected(self) -> None:
        for length in (0, 4, frames.MAX_LENGTH + 1):
            with self.assertRaises(frames.FrameError):
                list(frames.FrameReader().feed(length.to_bytes(4, "big")))

    def test_truncated_fields_are_rejected(self) -> None:
        whole = frames.write_fields({"c": "files", "o": "2a"})
        self.assertEqual(frames.read_fields(whole), ({"c": "files", "o": "2a"}, len(whole)))
        for n in range(len(whole)):
            with self.assertRaises(frames.FrameError):
                frames.read_fields(whole[:n])

    def test_duplicate_fields_are_rejected(self) -> None:
        data = frames.write_fields({"c": "files", "d": "1"}).replace(b"\1d", b"\1c")
        with self.assertRaises(frames.FrameError):
            frames.read_fields(data)

    def test_stream_numbers_are_accepted_once_in_bounded_memory(self) -> None:
        numbers = StreamNumbers()
        self.assertEqual(
            [numbers.claim(n) for n in (1, 4, 3, 3, 4, 5)], [True, True, True, False, False, True]
        )
        for number in range(10, 100_000, 7):
            self.assertTrue(numbers.claim(number))
        self.assertLessEqual(len(numbers.skipped), 64)


class Resp(unittest.TestCase):
    def test_answers_are_decoded_whole_and_in_pieces(self) -> None:
        answers = [[b"1", b"DONE", b"rev=a", b"\r\n$3\r\n"], [b"2", b"LACK", b"-", b""], [b"3", b"PAST"]]
        data = b"".join(resp.write_command(*items) for items in answers)
        for step in (1, 7, len(data)):
            reader = resp.RespReader()
            parts = [data[n : n + step] for n in range(0, len(data), step)]
            self.assertEqual([items for part in parts for items in reader.feed(part)], answers)

    def test_malformed_input_is_rejected(self) -> None:
        huge = b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$999999\r\n"
        for malformed in (b"HTTP/1.1", b"*99\r\n", b"*1\r\n$-1\r\n", b"*1\r\n$1\r\nabc", b"x" * 20, huge):
            with self.assertRaises(resp.RespError):
                list(resp.RespReader().feed(malformed))

    def test_only_the_body_of_an_answer_may_be_large(self) -> None:
        """Three items of 262 kB each were kept for every connection, in no account."""
        for index in range(3):
            for is_whole in (False, True):
                items = [b"a", b"DONE", b"-", b"x"]
                items[index] = bytes(20_000)
                data = resp.write_command(*items)
                reader = resp.RespReader()
                with self.assertRaises(resp.RespError):
                    list(reader.feed(data if is_whole else data[:-3]))
        body = bytes(resp.MAX_BULK_BYTES)
        self.assertEqual(
            list(resp.RespReader().feed(resp.write_command(b"a", b"DONE", b"-", body)))[0][3], body
        )


class Bus(unittest.TestCase):
    def test_server_records_and_purges_are_decoded(self) -> None:
        record = bytes([0, 0xC4, 0x1F, 0x7A, 10, 1, 0, 9]) + (8080).to_bytes(2, "big")
        record += bytes([1, 0, 0, 0, 2])
        record += (4000).to_bytes(4, "big") + (7).to_bytes(8, "big")
        purge = (42).to_bytes(8, "big") + (1000).to_bytes(8, "big")
        group = (17).to_bytes(2, "big") + (1000).to_bytes(8, "big")
        data = b"".join(
            (9 + len(body)).to_bytes(4, "big") + n.to_bytes(8, "big") + bytes([kind]) + body
            for n, (kind, body) in enumerate([(2, record), (3, purge), (4, group), (0, b"")], 1)
        )
        events = list(BusReader(("z",), ("k",)).feed(data + bytes(4)))
        news = events[0][1]
        assert isinstance(news, Topology)
        (host,) = news.hosts
        self.assertEqual((host.member.server, host.address), ("s-00c41f7a", ("10.1.0.9", 8080)))
        self.assertEqual((host.member.state, host.member.weight, host.member.cell), ("DRAINING", 4.0, 2))
        self.assertEqual(events[1:3], [(2, PurgeNotice(42, -1, 1000.0)), (3, PurgeNotice(None, 17, 1000.0))])
        self.assertEqual(events[3:], [(4, None), (0, None)])  # an empty frame is a heartbeat too

    def test_malformed_input_is_rejected(self) -> None:
        for malformed in (b"\xff" * 8, (12).to_bytes(4, "big") + bytes(8) + b"\x02abc"):
            with self.assertRaises(BusError):
                list(BusReader(("z",), ("k",)).feed(malformed))
