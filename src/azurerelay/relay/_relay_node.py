"""The logic of an entry host, free of input and output."""

import math
import random
from collections.abc import Iterable
from dataclasses import replace
from functools import partial
from typing import Any, Final

from result import Err, Ok, Result

from azurerelay.attachment import (
    ControlFollower,
    DirectoryUpdate,
    PrimarySuspicion,
    SyncReply,
)
from azurerelay.discovery import UNKNOWN_AGE_MS, Announcement, EndpointDirectory
from azurerelay.events import (
    AnnouncementRefused,
    DirectoryChanged,
    EventLog,
    SessionRefused,
)
from azurerelay.groups import GroupConnections, Topology
from azurerelay.messages import Link
from azurerelay.pooling import (
    ConnectionShare,
    connection_share,
    regional_connection_share,
)
from azurerelay.relay._admission_control import AdmissionControl
from azurerelay.relay._caller_session import HOST_STOPS, KEY_REFUSED, CallerSession
from azurerelay.relay._customer_keys import CustomerKeys
from azurerelay.relay._placement_explanation import (
    NOT_ADMITTED,
    PlacementError,
    PlacementExplanation,
    PlacementQuery,
    StatementKind,
    explain_group,
    most_used,
)
from azurerelay.routes import Configuration, Route
from azurerelay.statements import CallerError, EndpointConnector
from azurerelay.telemetry import Meters
from azurerelay.timing import Promise, TimerService, with_timeout

# How often a primary without a recent leadership proof is asked for one, so that its
# loss is noticed without traffic; about the interval of endpoint heartbeats.
PROOF_INTERVAL_MS: Final = 1_000.0
KEY_AS_DATABASE: Final = "(a customer's key)"
GROUP_CHECK_INTERVAL_MS: Final = 100.0
# A primary is reported to control once it has failed proofs for this long: time for one
# lost proof and a second attempt.
SUSPECT_AFTER_MS: Final = 250.0
# How long a caller that connects to a freshly started host waits for the host's first
# configuration; less than the two seconds after which callers give up.
FIRST_CONFIGURATION_TIMEOUT_MS: Final = 1_500.0
# How long a freshly started host is limited to one connection to each endpoint.
# Endpoints count the connections of a host that lost power for three more seconds. All
# hosts may have lost power together, and their old connections then leave little room.
START_RAMP_MS: Final = 3_000.0


class RelayNode:
    """The routes, groups and caller sessions of one entry host.

    With a `revocation_limit_ms`, keys of customers are refused once the configuration
    has been unconfirmed for that long, since they may have been withdrawn.
    """

    def __init__(
        self,
        name: str,
        topology: Topology,
        seeds: Iterable[str],
        link: Link,
        connector: EndpointConnector,
        timers: TimerService,
        random_source: random.Random,
        events: EventLog,
        meters: Meters,
        revocation_limit_ms: float | None = None,
    ) -> None:
        self._meters = meters
        self._name = name
        self._topology = topology
        self._connector = connector
        self._timers = timers
        self._random = random_source
        self._events = events
        self._directory = EndpointDirectory(
            self._record_refused_entry, keeps_former_members=False
        )
        self._listed_endpoints: set[str] = set()
        self._groups: dict[str, GroupConnections] = {}
        self._removed_groups: list[GroupConnections] = []
        self._routes: dict[str, Route] = {}
        self._entry_host_count = 1
        self._reported_suspects: frozenset[tuple[str, bool]] = frozenset()
        self._is_ramping = True
        self._accepts_transactions = True
        self._accepts_statements = True
        self._has_ended_statements = False
        self._configured: Promise[None] = Promise()
        self._control_follower = ControlFollower(
            topology.failure_domain,
            topology.round_trip_ms,
            seeds,
            link,
            timers,
            random_source,
            events,
        )
        self._customer_keys = CustomerKeys(
            self._control_follower.freshness, revocation_limit_ms
        )
        self._admission_control = AdmissionControl(
            self._control_follower, link, timers, random_source, events, meters
        )

    @property
    def version(self) -> int:
        """The version of the configuration in force; -1 before the first."""
        return self._control_follower.version

    @property
    def control_follower(self) -> ControlFollower:
        """The client that follows a control host."""
        return self._control_follower

    @property
    def directory(self) -> EndpointDirectory:
        """The endpoints that control has listed so far."""
        return self._directory

    @property
    def listed_endpoints(self) -> frozenset[str]:
        """The names of the endpoints that control lists now."""
        return frozenset(self._listed_endpoints)

    @property
    def transaction_idle_ms(self) -> int:
        """How long a transaction may stay idle, in milliseconds.

        0 before the first configuration.
        """
        configuration = self._control_follower.configuration
        return configuration.transaction_idle_ms if configuration else 0

    @property
    def accepts_transactions(self) -> bool:
        """Whether transactions are started; False while the host is being stopped."""
        return self._accepts_transactions

    @property
    def accepts_statements(self) -> bool:
        """Whether statements are sent; False while the host is being stopped."""
        return self._accepts_statements

    @property
    def is_ready(self) -> bool:
        """Whether callers can be served: routes and endpoints are known."""
        return self.version >= 0 and bool(self._directory.announcements)

    def start(self) -> None:
        """Follow control, and start the periodic checks of groups."""
        self._control_follower.start(self._suspicions, self._on_change)
        self._admission_control.start()
        self._timers.call_every(PROOF_INTERVAL_MS, self._prove_primaries)
        self._timers.call_every(GROUP_CHECK_INTERVAL_MS, self._check_groups)
        self._timers.call_later(START_RAMP_MS, self._end_ramp)

    def refuse_transactions(self) -> None:
        """Start no more transactions."""
        self._accepts_transactions = False

    def refuse_statements(self) -> None:
        """Send no more statements, and refuse those that wait for a connection.

        Statements that endpoints have go on.
        """
        self._accepts_transactions = self._accepts_statements = False
        for group in list(self._groups.values()):
            group.refuse_callers(HOST_STOPS)
        self._configured.resolve(None)

    def end_statements(self) -> None:
        """Close the connections of all statements that endpoints have not answered.

        Their callers get the reply to a lost connection.
        """
        self.refuse_statements()
        self._has_ended_statements = True
        for group in (*self._groups.values(), *self._removed_groups):
            group.abort()

    def stop(self) -> None:
        """Close all connections to endpoints."""
        for group in self._groups.values():
            group.close()

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a message of a control host; other messages are ignored."""
        if isinstance(message, SyncReply):
            self._control_follower.on_reply(sender, message)
            self._apply_control_proofs(message)
            if self._control_follower.entry_hosts != self._entry_host_count:
                self._entry_host_count = self._control_follower.entry_hosts
                self._update_groups()
        self._admission_control.on_message(sender, message)

    def _apply_control_proofs(self, reply: SyncReply) -> None:
        """Record the leadership proofs that a control host has passed on.

        A proof's age is subtracted from the time at which this host sent its request.
        Control answered later than that, so a position is never taken for newer than
        it is, however late the reply arrives. Replies to unknown requests add no proof.
        """
        sent_ms = self._control_follower.request_sent_ms(reply.sequence)
        for leader in reply.leaders:
            group = self._groups.get(leader.group)
            if group is None or sent_ms is None:
                continue
            if leader.position is not None:
                group.record_control_proof(sent_ms - leader.age_ms, leader.position)
            if leader.silent_ms > 0.0:
                group.check_primary()

    async def open_session(
        self, database: str, key: str = ""
    ) -> CallerSession | CallerError:
        """Return a new session, or the error for the caller.

        `key` identifies the caller's customer where customers are configured.
        A host without a configuration first waits for one, for up to
        `FIRST_CONFIGURATION_TIMEOUT_MS`.
        """
        if self.version < 0:
            await with_timeout(
                self._timers, self._configured, FIRST_CONFIGURATION_TIMEOUT_MS
            )
        if not self._accepts_statements:
            self._record_refused_session(database, HOST_STOPS)
            return CallerError.BUSY
        if self.version < 0:
            self._record_refused_session(database, "no configuration")
            return CallerError.BUSY
        route = self._routes.get(database)
        if route is None:
            return self.refuse_database(database)
        customer = self.identify(route, key)
        if isinstance(customer, Err):
            self.record_refused_key(database, customer.err_value)
            return customer.err_value
        return CallerSession(
            database,
            self,
            self._timers,
            self._events,
            self._meters,
            key,
            customer.ok_value,
        )

    def identify(self, route: Route, key: str) -> Result[str, CallerError]:
        """Return the customer of a caller by its key, or the error for the caller."""
        return self._customer_keys.identify(route, key)

    def record_refused_key(self, database: str, error: CallerError) -> None:
        """Record that a caller was refused because of its key."""
        reason = "no customer holds the caller's key"
        if error is CallerError.BUSY:
            reason = "a newer configuration may have added or withdrawn the key"
        self._record_refused_session(database, reason)

    def refuse_database(self, database: str) -> CallerError:
        """Record that a database has no route; return the error for the caller.

        While the configuration may be out of date, the caller is asked to retry: a
        newer one may have added the database, and other hosts may have that one.
        """
        if not self._control_follower.freshness.is_confirmed:
            self._record_refused_session(
                database, "no route has this name, but a newer version may have one"
            )
            return CallerError.BUSY
        self._record_refused_session(database, "no route has this name")
        return CallerError.UNKNOWN_DATABASE

    def _record_refused_session(self, database: str, reason: str) -> None:
        age_ms = min(1e9, self._control_follower.freshness.age_ms)
        if self._customer_keys.holds(database):
            database = KEY_AS_DATABASE  # the caller has swapped the two words
        self._events.record(SessionRefused(database, reason, self.version, age_ms))

    def admit(self, customer: str) -> str | None:
        """Decide whether an operation of a customer may start; why not, or None."""
        return self._admission_control.admit(customer)

    def record_started(self, customer: str, waited_ms: float) -> None:
        """Record that the first attempt of an admitted operation was sent."""
        self._admission_control.record_started(customer, waited_ms)

    def refund(self, customer: str, waited_ms: float) -> None:
        """Record that an admitted operation ended, and no attempt was sent."""
        self._admission_control.refund(customer, waited_ms)

    def find_route(self, database: str) -> tuple[Route, GroupConnections] | None:
        """Return the route of a database name and its group, None if unknown."""
        route = self._routes.get(database)
        group = self._groups.get(route.group) if route else None
        return (route, group) if route and group else None

    def explain_placement(
        self, query: PlacementQuery
    ) -> Result[PlacementExplanation, PlacementError]:
        """Explain where a statement would go now.

        Nothing is sent, opened or counted, and no random number of this host is drawn.
        """
        if self.version < 0:
            return Err(PlacementError.NO_CONFIGURATION)
        found = self.find_route(query.database)
        if found is None:
            return Err(PlacementError.UNKNOWN_DATABASE)
        customer = query.customer
        if customer is not None and not self._customer_keys.has_customer(customer):
            return Err(PlacementError.UNKNOWN_CUSTOMER)
        route, group = found
        identified = self._customer_keys.identify_holder(route, customer)
        name = (customer or "") if isinstance(identified, Err) else identified.ok_value
        quota = self._admission_control.quota_state(name)
        placement = explain_group(
            query.statement, route, group, name, self._timers.now_ms()
        )
        obstacle = placement.obstacle
        if not self._accepts(query.statement):
            obstacle = f"refused: {HOST_STOPS}"
        elif isinstance(identified, Err):
            obstacle = f"refused: {KEY_REFUSED} ({identified.err_value.value})"
        elif quota is not None and quota.fraction == 0.0:
            obstacle = NOT_ADMITTED
        age_ms = self._control_follower.freshness.age_ms
        listed = most_used(placement.endpoints)
        return Ok(
            PlacementExplanation(
                self._name,
                route.database,
                query.statement,
                name,
                group.name,
                route.consistency,
                self.version,
                age_ms if math.isfinite(age_ms) else None,
                group.are_connections_scarce,
                obstacle,
                quota,
                placement.required,
                listed,
                len(placement.endpoints) - len(listed),
            )
        )

    def _accepts(self, kind: StatementKind) -> bool:
        if kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            return self._accepts_transactions
        return self._accepts_statements

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges on the metrics page."""
        freshness = self._control_follower.freshness
        return {
            "configuration_version": float(self.version),
            "configuration_age_seconds": min(1e9, freshness.age_ms) / 1_000.0,
            "control_reply_delay_seconds": freshness.reply_delay_ms / 1_000.0,
            "control_age_seconds": min(1e9, self._control_follower.control_silence_ms)
            / 1_000.0,
            "entry_hosts": float(self._control_follower.entry_hosts),
            "endpoints": float(len(self._directory.announcements)),
            "endpoint_connections": float(
                sum(group.connection_count for group in self._groups.values())
            ),
        }

    def _on_change(self, update: DirectoryUpdate | None) -> None:
        now_ms = self._timers.now_ms()
        if update is not None:
            previous_revision = self._directory.revision
            for departure in update.departures:
                for group in self._groups.values():
                    group.remove_departed(departure.endpoint, departure.incarnation)
            self._update_listed_endpoints(update)
            self._forget_replaced_endpoints(update)
            self._directory.merge_drains(update.drains, now_ms)
            self._directory.merge_all(update.announcements, update.departures, now_ms)
            if self._directory.revision != previous_revision:
                self._record_directory_change(update)
        configuration = self._control_follower.configuration
        if configuration is not None:
            self._apply_configuration(configuration)
        self._update_groups()
        if configuration is not None:
            self._configured.resolve(None)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._customer_keys.update(configuration.customers)
        self._admission_control.update(configuration.customers)
        self._routes = {route.database: route for route in configuration.routes}
        names = {group.name for group in configuration.groups}
        self._removed_groups = [g for g in self._removed_groups if g.connection_count]
        for name in list(self._groups):
            if name not in names:
                removed = self._groups.pop(name)
                self._removed_groups.append(removed)
                removed.close()
        for name in names - self._groups.keys():
            self._groups[name] = GroupConnections(
                name,
                self._connector,
                self._topology,
                self._timers,
                self._random,
                self._events,
            )

    def _end_ramp(self) -> None:
        self._is_ramping = False
        self._update_groups()

    def _update_listed_endpoints(self, update: DirectoryUpdate) -> None:
        """Apply an update to the names of the endpoints that control lists."""
        if update.base_revision is None:
            self._listed_endpoints.clear()
        self._listed_endpoints -= {d.endpoint for d in update.departures}
        self._listed_endpoints -= set(update.removed)
        self._listed_endpoints |= {a.endpoint for a in update.announcements}

    def _forget_replaced_endpoints(self, update: DirectoryUpdate) -> None:
        """Forget what control has replaced by an announcement that may be older.

        That is an endpoint that control now lists in another group, and one that it no
        longer lists, at the address of one that it does.
        """
        now_ms = self._timers.now_ms()
        addresses = {a.address for a in update.announcements}
        for announcement in update.announcements:
            known = self._directory.get(announcement.endpoint)
            if known is not None and known.group != announcement.group:
                self._directory.forget(announcement.endpoint, now_ms)
        for known in self._directory.announcements:
            is_listed = known.endpoint in self._listed_endpoints
            if not is_listed and known.address in addresses:
                self._directory.forget(known.endpoint, now_ms)

    def _update_groups(self) -> None:
        """Pass the endpoints that control lists and connection shares to the groups."""
        configuration = self._control_follower.configuration
        if configuration is None:
            return
        for group in configuration.groups:
            self._groups[group.name].update(
                (
                    announcement
                    for announcement in self._directory.group(group.name)
                    if announcement.endpoint in self._listed_endpoints
                ),
                partial(self._endpoint_share, group.connection_limit),
                self._directory.draining_since_ms,
            )

    def _endpoint_share(self, limit: int, endpoint: Announcement) -> ConnectionShare:
        """Return this host's share of an endpoint's connections.

        The share is limited to one connection during the start ramp.
        """
        hosts = self._control_follower.entry_hosts
        share = connection_share(limit, hosts, self._name, endpoint.endpoint)
        is_local = self._topology.is_same_region(endpoint.failure_domain)
        if is_local and not endpoint.is_primary:
            share = regional_connection_share(share, self._topology.region_fraction)
        return replace(share, limit=1) if self._is_ramping else share

    def _prove_primaries(self) -> None:
        if self._has_ended_statements:
            return
        oldest_ms = self._timers.now_ms() - PROOF_INTERVAL_MS
        for group in self._groups.values():
            sample = group.samples.newest
            if sample is None or sample[0] < oldest_ms or group.suspected_primary():
                group.check_primary()

    def _suspicions(self) -> tuple[PrimarySuspicion, ...]:
        return tuple(
            PrimarySuspicion(
                group.name, suspect.endpoint, suspect.silent_ms, suspect.is_certain
            )
            for group in self._groups.values()
            if (suspect := group.suspected_primary()) is not None
            and suspect.silent_ms >= SUSPECT_AFTER_MS
        )

    def _check_groups(self) -> None:
        """Close idle connections, and report changes of the suspected primaries."""
        if self._has_ended_statements:
            return
        for group in self._groups.values():
            group.close_idle_connections()
            if group.suspected_primary() is not None:
                group.prove_primary()
        suspects = frozenset((s.endpoint, s.is_certain) for s in self._suspicions())
        if suspects != self._reported_suspects:
            self._reported_suspects = suspects
            self._control_follower.sync_now()

    def _record_refused_entry(self, endpoint: str) -> None:
        self._events.record(
            AnnouncementRefused(
                endpoint[:64], "an entry of a control host is out of range"
            )
        )

    def _describe_drain(self, endpoint: str) -> str:
        since_ms = self._directory.draining_since_ms(endpoint)
        if since_ms is None:
            return ""
        if since_ms == -UNKNOWN_AGE_MS:
            return " draining for an unknown time"
        return f" draining for {self._timers.now_ms() - since_ms:.0f} ms"

    def _record_directory_change(self, update: DirectoryUpdate) -> None:
        endpoints = ", ".join(
            f"{a.endpoint}@{a.address} {a.group}"
            f"{' primary' if a.is_primary else ''}"
            f"{self._describe_drain(a.endpoint)}"
            for a in update.announcements
        )
        self._events.record(DirectoryChanged(update.mark.revision, endpoints))
