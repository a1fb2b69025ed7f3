"""Memory and descriptors of real host processes under clients that misbehave.

The bound is the memory of the settings file, and the crowds were chosen before the
limits were built. The peak of a process is read from outside.
"""

import unittest

from azurerelay.platform import (
    CONFIGURATION_READ_PATH,
    CONFIGURATION_REPLACE_PATH,
    MAX_LINE_BYTES,
    READINESS_PATH,
)
from tests.host_processes import (
    CALLER_PORT,
    CONTROL_PORT,
    METRICS_PORT,
    READINESS_PORT,
    Crowd,
    HostProcess,
    HostProcesses,
)

MEMORY_MB = 128
MANY_DESCRIPTORS = 2_000
FEW_DESCRIPTORS = 200
KIB = 1_024
MIB = 1_024 * KIB
MAX_HTTP_BODY_BYTES = 8 * MIB

OPEN = b"START db1 key\r\n"
STATEMENT = b"QUERY q1 WRITE a "


class _HostTest(unittest.TestCase):
    descriptors = MANY_DESCRIPTORS

    def setUp(self) -> None:
        self.hosts = HostProcesses(MEMORY_MB, self.descriptors)
        self.addCleanup(self.hosts.stop)

    def crowd(self, address: str, port: int, count: int) -> Crowd:
        crowd = Crowd((address, port), count)
        self.addCleanup(crowd.close)
        return crowd

    def callers(self, count: int) -> Crowd:
        return self.crowd(self.hosts.entry_ip, CALLER_PORT, count)

    def assert_bounded(self, host: HostProcess) -> None:
        """Check the process, and one ordinary request while the crowd is connected."""
        with self.subTest("an ordinary request is answered"):
            self.assertTrue(self.hosts.serves())
            if host is self.hosts.control:
                port, path = CONTROL_PORT, CONFIGURATION_READ_PATH
                address = self.hosts.control_ip
            else:
                port, path = READINESS_PORT, READINESS_PATH
                address = self.hosts.entry_ip
            self.assertEqual(self.hosts.http(address, port, path), 200)
        with self.subTest("the process lives"):
            self.assertTrue(host.is_alive)
        with self.subTest("memory and descriptors are bounded"):
            self.assertLessEqual(host.peak_mb, MEMORY_MB)
            self.assertLessEqual(host.descriptors, self.descriptors)


class CallerMemoryTest(_HostTest):
    """Callers that take an entry host's memory by messages or by unread answers."""

    def test_the_largest_legal_message_is_served(self) -> None:
        """A limit must not refuse what the protocol allows."""
        text = b"WRITE a ".ljust(MAX_LINE_BYTES - len(b"QUERY q1 "), b"x")
        self.assertTrue(self.hosts.serves(text))
        self.assert_bounded(self.hosts.entry)

    def test_unfinished_messages_in_one_piece(self) -> None:
        """Each connection kept up to a message of memory, without a common bound."""
        crowd = self.callers(160)
        crowd.send(OPEN + STATEMENT.ljust(MIB - 64, b"x"), MIB)
        self.assert_bounded(self.hosts.entry)

    def test_unfinished_messages_in_small_pieces(self) -> None:
        crowd = self.callers(160)
        crowd.send(OPEN + STATEMENT.ljust(MIB - 64, b"x"), 16 * KIB)
        self.assert_bounded(self.hosts.entry)

    def test_messages_far_over_the_limit(self) -> None:
        crowd = self.callers(24)
        crowd.send(OPEN + STATEMENT, KIB)
        crowd.send(b"x" * 64 * KIB, 64 * KIB, 1_000)
        self.assert_bounded(self.hosts.entry)

    def test_statements_of_medium_size_without_a_pause(self) -> None:
        """Statements arrived faster than endpoints took them, and were all queued."""
        crowd = self.callers(24)
        crowd.send(OPEN, KIB)
        statement = STATEMENT.ljust(64 * KIB - 2, b"x") + b"\r\n"
        crowd.send(statement, 64 * KIB, 100)
        self.assert_bounded(self.hosts.entry)

    def test_statements_sent_ahead(self) -> None:
        """One connection may queue 64 messages behind one that is being served."""
        crowd = self.callers(4)
        crowd.send(OPEN + b"QUERY q0 READ hold\r\n", KIB)
        crowd.send(STATEMENT.ljust(MIB - 64, b"x") + b"\r\n", MIB, 60)
        self.assert_bounded(self.hosts.entry)

    def test_session_values_of_legal_size(self) -> None:
        """A session keeps the values that a caller sets, each as large as a message."""
        crowd = self.callers(1)
        crowd.send(OPEN, KIB)
        for number in range(160):
            crowd.send(b"QUERY q1 SET v%d ".ljust(MIB - 64, b"x") % number, MIB)
            crowd.send(b"\r\n", KIB)
            crowd.receive(KIB)
        self.assert_bounded(self.hosts.entry)

    def test_large_answers_that_nobody_reads(self) -> None:
        crowd = self.callers(24)
        crowd.send(OPEN + b"QUERY q1 READ big\r\n", KIB)
        for _ in range(3):
            self.assertTrue(self.hosts.serves())
        self.assert_bounded(self.hosts.entry)

    def test_large_answers_that_are_read_a_byte_at_a_time(self) -> None:
        crowd = self.callers(24)
        crowd.send(OPEN + b"QUERY q1 READ big\r\n", KIB)
        for _ in range(100):
            crowd.receive(1)
        self.assert_bounded(self.hosts.entry)

    def test_a_crowd_that_sends_a_byte_at_a_time_and_stops(self) -> None:
        crowd = self.callers(300)
        crowd.send(OPEN + b"QUERY q1 REA", 1)
        self.assert_bounded(self.hosts.entry)


class HttpMemoryTest(_HostTest):
    """Clients that take memory by HTTP requests that they do not finish."""

    def _send_unfinished_bodies(self, address: str, port: int, path: str) -> None:
        crowd = self.crowd(address, port, 24)
        head = f"POST {path} HTTP/1.1\r\nContent-Length: {MAX_HTTP_BODY_BYTES}\r\n\r\n"
        crowd.send(head.encode(), KIB)
        crowd.send(b"x" * (MAX_HTTP_BODY_BYTES - 1), 256 * KIB)

    def test_unfinished_bodies_at_the_readiness_address(self) -> None:
        """Bodies were kept although no request there needs one."""
        self._send_unfinished_bodies(self.hosts.entry_ip, READINESS_PORT, "/")
        self.assert_bounded(self.hosts.entry)

    def test_unfinished_bodies_at_the_metrics_address(self) -> None:
        self._send_unfinished_bodies(self.hosts.entry_ip, METRICS_PORT, "/metrics")
        self.assert_bounded(self.hosts.entry)

    def test_unfinished_bodies_at_the_control_address(self) -> None:
        path = CONFIGURATION_REPLACE_PATH
        self._send_unfinished_bodies(self.hosts.control_ip, CONTROL_PORT, path)
        self.assert_bounded(self.hosts.control)

    def test_header_fields_without_end(self) -> None:
        crowd = self.crowd(self.hosts.control_ip, CONTROL_PORT, 12)
        crowd.send(b"GET / HTTP/1.1\r\nA: ", KIB)
        crowd.send(b"x" * 64 * KIB, 64 * KIB, 256)
        self.assert_bounded(self.hosts.control)

    def test_request_targets_without_end(self) -> None:
        """The target of a request had no limit."""
        crowd = self.crowd(self.hosts.control_ip, CONTROL_PORT, 12)
        crowd.send(b"GET /", KIB)
        crowd.send(b"x" * 64 * KIB, 64 * KIB, 256)
        self.assert_bounded(self.hosts.control)


class DescriptorTest(_HostTest):
    """Connections that open and say nothing, beyond the descriptors of a process."""

    descriptors = FEW_DESCRIPTORS

    def test_silent_callers(self) -> None:
        self.callers(400).send(b"S", 1)
        self.assert_bounded(self.hosts.entry)

    def test_silent_callers_with_a_session(self) -> None:
        """Connections that look like those of ordinary callers between statements."""
        self.callers(400).send(OPEN, KIB)
        self.assert_bounded(self.hosts.entry)

    def test_silent_clients_of_the_readiness_address(self) -> None:
        self.crowd(self.hosts.entry_ip, READINESS_PORT, 400).send(b"G", 1)
        self.assert_bounded(self.hosts.entry)

    def test_silent_clients_of_the_control_address(self) -> None:
        self.crowd(self.hosts.control_ip, CONTROL_PORT, 400).send(b"G", 1)
        self.assert_bounded(self.hosts.control)


if __name__ == "__main__":
    unittest.main()
