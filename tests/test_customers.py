"""Tests for customers: their keys, and the connections that carry their statements."""

import json
import unittest
from dataclasses import replace
from typing import Any

from result import Ok

from azurerelay.events import SessionRefused
from azurerelay.platform import decode_configuration
from azurerelay.relay._customer_keys import SENDING_MARGIN_MS
from azurerelay.routes import (
    Consistency,
    Customer,
    DatabaseGroup,
    apply_change,
    change_between,
)
from azurerelay.statements import CallerError, SessionState
from azurerelay.timing import spawn
from tests.platform_rig import GROUP, PlatformRig, configuration, route

ACME = Customer("acme", ("key-1", "key-2"), 100.0, 100.0)
ZENITH = Customer("zenith", ("key-3",), 10.0, 10.0)


class KeysTest(unittest.TestCase):
    """Callers of three hosts that present keys."""

    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.configuration = configuration(1, customers=(ACME, ZENITH))
        self.rig.start(self.configuration)

    def _refusal(self, key: str, entry: int = 1) -> Any:
        node = self.rig.entries[f"10.1.0.{entry}:7440"]
        return self.rig.wait(spawn(node.open_session("strict", key)))

    def _replace(self, **fields: Any) -> None:
        version = self.configuration.version + 1
        self.configuration = replace(self.configuration, version=version, **fields)
        self.assertTrue(self.rig.replace(self.configuration))
        self.rig.timers.advance(1_000.0)

    def test_endpoints_see_the_customer_of_the_key(self) -> None:
        """Guards against work that runs in the name of another customer."""
        for key, database in (("key-1", "strict"), ("key-3", "own"), ("key-2", "own")):
            session = self.rig.open(database, key=key)
            for text in ("WRITE 1 a", "READ 1", "BEGIN", "WRITE 2 b", "COMMIT"):
                self.assertIsNone(self.rig.run(session, text).error)
        customers = [run.customer for run in self.rig.runs]
        self.assertEqual(customers, ["acme"] * 3 + ["zenith"] * 3 + ["acme"] * 3)

    def test_an_unknown_key_is_refused_and_not_logged(self) -> None:
        self.assertIs(self._refusal("secret-key"), CallerError.UNKNOWN_KEY)
        self.assertIs(self._refusal(""), CallerError.UNKNOWN_KEY)
        events = self.rig.events.of(SessionRefused)
        self.assertEqual(len(events), 2)
        for text in (*map(repr, self.rig.events.events), repr(self.configuration)):
            for key in ("secret-key", "key-1", "key-2", "key-3"):
                self.assertNotIn(key, text)

    def test_a_withdrawn_key_ends_with_the_operation_in_progress(self) -> None:
        session = self.rig.open("strict", key="key-1")
        other = self.rig.open("strict", key="key-2")
        self.rig.run(session, "BEGIN")
        self._replace(customers=(replace(ACME, keys=("key-2",)), ZENITH))
        self.assertIsNone(self.rig.run(session, "WRITE 1 a").error)
        self.assertIsNone(self.rig.run(session, "COMMIT").error)
        for text in ("READ 1", "WRITE 1 a", "BEGIN"):
            reply = self.rig.run(session, text)
            self.assertIs(reply.error, CallerError.UNKNOWN_KEY)
            self.assertIs(reply.state, SessionState.IDLE)
        self.assertIsNone(self.rig.run(other, "READ 1").error)

    def test_a_withdrawn_key_stays_withdrawn_after_restarts(self) -> None:
        """Guards against hosts that start with an earlier configuration."""
        self._replace(customers=(replace(ACME, keys=("key-2",)), ZENITH))
        for number in range(1, 4):
            self.rig.cut_power(f"10.1.0.{number}:7440")
        for address in self.rig.addresses:
            self.rig.stop_control(address)
        for address in self.rig.addresses:
            self.rig.start_control(address)
        for number in range(1, 4):
            self.rig.start_entry(number)
        self.rig.wait_for(lambda: all(e.is_ready for e in self.rig.entries.values()))
        self.rig.timers.advance(1_000.0)
        self.assertIs(self._refusal("key-1"), CallerError.UNKNOWN_KEY)
        self.rig.open("strict", key="key-2")

    def test_a_key_that_moves_to_another_customer_takes_its_session_along(self) -> None:
        session = self.rig.open("strict", key="key-2")
        moved = replace(ZENITH, keys=("key-3", "key-2"))
        self._replace(customers=(replace(ACME, keys=("key-1",)), moved))
        self.assertIsNone(self.rig.run(session, "WRITE 1 a").error)
        self.assertEqual(self.rig.runs[-1].customer, "zenith")

    def _run_late(self, text: str, *customers: Customer) -> CallerError | None:
        """Replace the customers while a statement of key-2 waits for a connection."""
        groups = (DatabaseGroup(GROUP, 5, 0),)
        routes = (route("strict", Consistency.PRIMARY, statement_timeout_ms=8_000),)
        self._replace(groups=groups, routes=routes)
        self.rig.timers.advance(3_000.0)
        holder = self.rig.open("strict", key="key-3")
        self.assertIsNone(self.rig.run(holder, "BEGIN").error)
        waiting = self.rig.send(self.rig.open("strict", key="key-2"), text)
        self.rig.timers.advance(50.0)
        self._replace(customers=customers)
        self.assertFalse(waiting.is_done)
        self.assertIsNone(self.rig.run(holder, "COMMIT").error)
        reply = self.rig.wait(waiting)
        error: CallerError | None = reply.error
        return error

    def test_a_key_that_is_withdrawn_while_a_statement_waits_does_not_run_it(
        self,
    ) -> None:
        """Guards against statements that wait longer than a withdrawal may take."""
        acme = replace(ACME, keys=("key-1",))
        for text in ("WRITE 1 late", "BEGIN"):
            self.assertIs(
                self._run_late(text, acme, ZENITH), CallerError.UNKNOWN_KEY, text
            )
            self._replace(customers=(ACME, ZENITH))
        self.assertEqual(self.rig.runs, [])

    def test_a_key_that_moves_while_a_statement_waits_changes_its_customer(
        self,
    ) -> None:
        """Guards against work in the name of the customer that had the key before."""
        acme = replace(ACME, keys=("key-1",))
        zenith = replace(ZENITH, keys=("key-3", "key-2"))
        self.assertIsNone(self._run_late("WRITE 1 late", acme, zenith))
        self.assertEqual(self.rig.runs[-1].customer, "zenith")

    def test_a_key_that_moves_while_a_statement_waits_needs_the_new_quota(self) -> None:
        """Guards against operations that no quota counts."""
        acme = replace(ACME, keys=("key-1",))
        closed = Customer("closed", ("key-2",), 0.0, 0.0)
        for text in ("WRITE 1 late", "BEGIN"):
            error = self._run_late(text, acme, ZENITH, closed)
            self.assertIs(error, CallerError.OVER_QUOTA, text)
            self._replace(customers=(ACME, ZENITH))
        self.assertEqual(self.rig.runs, [])

    def test_a_restarted_host_does_not_take_keys_from_an_outdated_control_host(
        self,
    ) -> None:
        """Guards against a withdrawn key that is served again after a restart."""
        addresses = self.rig.addresses
        outdated = next(a for a in addresses if self.rig.controls[a] != self.rig.leader)
        self.rig.isolate(outdated, [a for a in addresses if a != outdated])
        leader = next(a for a in addresses if self.rig.controls[a] == self.rig.leader)
        customers = (replace(ACME, keys=("key-2",)), ZENITH)
        self.assertTrue(
            self.rig.replace(
                replace(self.configuration, version=2, customers=customers), leader
            )
        )
        self.rig.cut_power("10.1.0.1:7440")
        self.rig.isolate("10.1.0.1:7440", [a for a in addresses if a != outdated])
        self.rig.timers.advance(4_000.0)
        self.rig.start_entry(1)
        self.rig.timers.advance(3_000.0)
        self.assertIs(self._refusal("key-1"), CallerError.BUSY)
        self.rig.heal()
        self.rig.timers.advance(3_000.0)
        self.assertIs(self._refusal("key-1"), CallerError.UNKNOWN_KEY)

    def test_a_key_in_the_place_of_the_database_is_not_logged(self) -> None:
        node = self.rig.entries["10.1.0.1:7440"]
        self.rig.wait(spawn(node.open_session("key-1", "strict")))
        self.assertNotIn("key-1", repr(self.rig.events.of(SessionRefused)))

    def test_public_routes_need_no_key(self) -> None:
        self._replace(
            routes=(
                route("open", Consistency.PRIMARY, is_public=True),
                *self.configuration.routes,
            )
        )
        for key, customer in (("", ""), ("wrong", ""), ("key-3", "zenith")):
            session = self.rig.open("open", key=key)
            self.assertIsNone(self.rig.run(session, "WRITE 1 a").error)
            self.assertEqual(self.rig.runs[-1].customer, customer)

    def test_an_unknown_key_may_be_retried_while_the_configuration_may_be_old(
        self,
    ) -> None:
        """Guards against final refusals of keys that a newer version has added."""
        self.rig.isolate("10.1.0.1:7440", self.rig.addresses)
        self.rig.timers.advance(3_000.0)
        self.assertIs(self._refusal("new-key"), CallerError.BUSY)
        session = self.rig.open("strict", key="key-1")
        self.assertIsNone(self.rig.run(session, "WRITE 1 a").error)

    def test_keys_expire_without_contact_to_control_if_settings_say_so(self) -> None:
        node = self.rig.entries["10.1.0.1:7440"]
        node._customer_keys._revocation_limit_ms = 5_000.0
        session = self.rig.open("strict", key="key-1")
        self.rig.isolate("10.1.0.1:7440", self.rig.addresses)
        self.rig.timers.advance(5_000.0 - SENDING_MARGIN_MS - 1_000.0)
        self.assertIsNone(self.rig.run(session, "READ 1").error)
        self.rig.timers.advance(1_500.0)
        self.assertIs(self.rig.run(session, "READ 1").error, CallerError.BUSY)
        self.rig.heal()
        self.rig.timers.advance(2_000.0)
        self.assertIsNone(self.rig.run(session, "READ 1").error)

    def test_a_public_route_does_not_use_a_key_that_may_have_been_withdrawn(
        self,
    ) -> None:
        node = self.rig.entries["10.1.0.1:7440"]
        node._customer_keys._revocation_limit_ms = 5_000.0
        self.rig.isolate("10.1.0.1:7440", self.rig.addresses)
        self.rig.timers.advance(6_000.0)
        public = route("open", Consistency.PRIMARY, is_public=True)
        self.assertEqual(node.identify(public, "key-1"), Ok(""))


class CustomerDocumentTest(unittest.TestCase):
    """The operator's document, and the changes that entry hosts get."""

    def _decode(self, customers: Any) -> Any:
        document = {
            "version": 1,
            "routes": [],
            "services": [],
            "tenants": customers,
        }
        return decode_configuration(json.dumps(document).encode())

    def test_customers_are_decoded(self) -> None:
        item = {
            "name": "acme",
            "api_keys": ["key-1", "key-2"],
            "rate_per_s": 100,
            "burst": 100,
            "comment": "unknown fields are ignored",
        }
        self.assertEqual(self._decode([item]).ok_value.customers, (ACME,))
        self.assertEqual(self._decode([]).ok_value.customers, ())
        plain = b'{"version": 1, "routes": [], "services": []}'
        self.assertIsNone(decode_configuration(plain).ok_value.customers)

    def test_invalid_customers_are_refused_with_their_place(self) -> None:
        """Guards against a document with two owners of a key, and against leaks."""
        valid = {"name": "acme", "api_keys": ["key-1"], "rate_per_s": 1, "burst": 1}
        cases: list[tuple[Any, str]] = [
            ([valid, valid | {"name": "zenith"}], "$.tenants[1].api_keys[0]"),
            ([valid, valid | {"api_keys": []}], "$.tenants[1].name"),
            ([valid | {"name": ""}], "$.tenants[0].name"),
            ([{"api_keys": []}], "$.tenants[0].name"),
            ([valid | {"name": "two words"}], "$.tenants[0].name"),
            ([valid | {"rate_per_s": -1}], "$.tenants[0].rate_per_s"),
            ([valid | {"burst": "many"}], "$.tenants[0].burst"),
            ([valid | {"burst": True}], "$.tenants[0].burst"),
            ([valid | {"api_keys": "key-1"}], "$.tenants[0].api_keys"),
            ([valid | {"api_keys": ["key-1", 7]}], "$.tenants[0].api_keys"),
            ([valid | {"api_keys": ["a key"]}], "$.tenants[0].api_keys"),
            (["acme"], "$.tenants"),
            (None, "$.tenants"),
        ]
        for customers, place in cases:
            findings = self._decode(customers).err_value
            self.assertEqual([f.place for f in findings], [place], customers)
            self.assertNotIn("key-1", str(findings))

    def test_changes_carry_only_the_customers_that_changed(self) -> None:
        before = configuration(1, customers=(ACME, ZENITH))
        slower = replace(ACME, rate_per_s=5.0)
        after = configuration(2, customers=(slower,))
        change = change_between(before, after)
        self.assertEqual(change.customers, (slower,))
        self.assertEqual(change.dropped_customers, ("zenith",))
        rebuilt = apply_change(before, change)
        assert rebuilt is not None
        self.assertEqual(rebuilt.customers, (slower,))
        without = apply_change(after, change_between(after, configuration(3)))
        assert without is not None
        self.assertIsNone(without.customers)
