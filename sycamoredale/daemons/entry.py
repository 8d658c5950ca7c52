"""Run the daemon of an entry instance on the users' platform.

Routing and group control run as tasks of one process.  A second process
would cost memory on every machine, while group control is idle on all
machines except the one that holds the lease.
"""

import sys
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.daemons import settings as settings_reader
from sycamoredale.daemons import signals
from sycamoredale.forwarding import address_checks
from sycamoredale.forwarding import cold_quota
from sycamoredale.forwarding import daemon_shares
from sycamoredale.forwarding import daemon_subsets
from sycamoredale.forwarding import departures
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import forwarder
from sycamoredale.forwarding import hub_selection
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import object_handlers
from sycamoredale.forwarding import object_watcher
from sycamoredale.forwarding import retry_budget
from sycamoredale.forwarding import route_table
from sycamoredale.forwarding import service
from sycamoredale.forwarding import stop_plan
from sycamoredale.forwarding import store_contact
from sycamoredale.forwarding import update_exchange
from sycamoredale.forwarding import watch_timing
from sycamoredale.groups import formation_planner
from sycamoredale.groups import load_rate
from sycamoredale.groups import reported_group_controller
from sycamoredale.http import client
from sycamoredale.http import descriptor_shares
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale import leases
from sycamoredale.links import assembly
from sycamoredale import loop_delays
from sycamoredale.membership import node as node_module
from sycamoredale.membership import view
from sycamoredale.object_api import eras
from sycamoredale.object_api import malformed_entries
from sycamoredale.object_api import objects
from sycamoredale.observability import exposition
from sycamoredale.observability import line_writer
from sycamoredale.observability import logs
from sycamoredale.observability import loop_monitor
from sycamoredale.platform import engine_client
from sycamoredale.platform import instance_decoder
from sycamoredale.platform import manifest
from sycamoredale.platform import object_kinds
from sycamoredale.platform import settings as settings_module
from sycamoredale.platform import store as store_module
from sycamoredale.platform import wire_format
from sycamoredale.requests import crash_detection
from sycamoredale.requests import part_admission
from sycamoredale.requests import part_quarantine
from sycamoredale.requests import quarantine_records
from sycamoredale import supervision

# The load balancer probes once a second and removes an instance after two
# failures; until then, it still sends requests.
DRAIN_LISTEN_SECONDS: Final = 3.0
# Part of the grace period that is left for the exit of the process.
EXIT_RESERVE_SECONDS: Final = 0.5
# The rest is for the process itself, which needs about 64 MB, for the buffers
# of the kernel and for copies while bytes are passed on.
HELD_ANSWERS_SHARE: Final = 0.125
HELD_REQUESTS_SHARE: Final = 0.125
# The metrics port in the deployment file.
METRICS_PORT: Final = 9464
# Assumed until the registry is listed; more than the largest fleet has, so
# that shared limits are not exceeded.
MIN_ASSUMED_DAEMONS: Final = 400
# How often the age of what is known is measured and compared with its bound.
WATCHER_CHECK_SECONDS: Final = 0.5
# The peer service uses the first internal port, peer updates the next one.
PEER_UPDATE_PORT_OFFSET: Final = 1
BYTES_PER_MB: Final = 1_000_000
LOG: Final = logs.get("daemon")


class EntryDaemon:
    """Route calls, and control groups while this daemon has the lease."""

    def __init__(
        self,
        settings: settings_module.ProcessSettings,
        delays: loop_delays.LoopDelays | None = None,
    ) -> None:
        """Initialize all components without listening.

        `delays` are those of the event loop that runs the daemon.
        """
        self._settings = settings
        self._delays = delays or loop_delays.LoopDelays()
        self._metric_registry = exposition.MetricRegistry()
        self._store_contact = store_contact.StoreContact()
        self._store = store_module.PlatformStore(
            settings.store_address,
            client.Pool(delays=self._delays),
            on_answer=lambda: self._store_contact.record_answer(
                clock.monotonic()
            ),
            eras=eras.EraTracker(self._metric_registry),
            delays=self._delays,
        )
        self._store.eras.on_change.append(
            lambda: self._store_contact.begin_era(clock.monotonic())
        )
        self._held_answers = held_bytes.HeldBytes(
            settings.memory_mb * HELD_ANSWERS_SHARE * BYTES_PER_MB,
            "answers",
            self._metric_registry,
        )
        # Apart from the answers, which callers cannot crowd out.
        self._held_requests = held_bytes.HeldBytes(
            settings.memory_mb * HELD_REQUESTS_SHARE * BYTES_PER_MB,
            "requests",
            self._metric_registry,
        )
        self._instances = instance_table.InstanceTable(
            departures=departures.DepartureLog(self._metric_registry)
        )
        self._routes = route_table.RouteTable(
            limits_memory=settings.limits_engine_memory
        )
        self._evacuation_handler = object_handlers.EvacuationHandler(
            self._rebuild_endpoints
        )
        self._endpoints = endpoints.EndpointTable(
            self._instances,
            lambda: self._routes.current.service_by_name,
            lambda: self._evacuation_handler.zones_out,
        )
        self._node = self._build_node()
        self._crash_detection = crash_detection.assemble(
            self._node, self._store, self._holds_lease
        )
        self._links = self._build_links()
        self._connector = self._links.connector
        self._probe_pool = client.Pool(self._connector.open_direct)
        self._part_quarantine = part_quarantine.PartQuarantine(
            self._metric_registry
        )
        self._quarantine_records = quarantine_records.QuarantineRecords(
            self._store, self._part_quarantine
        )
        self._peer_updates = update_exchange.PeerUpdateExchange(
            settings.daemon,
            self._endpoints,
            self._build_hub_selector(),
            lambda: self._group_controller.lease.own_version,
            lambda version, now: self._group_controller.lease.observe_report(
                version, now
            ),
            self._kind_updates_to_publish,
            self._on_kind_update,
            self._part_quarantine.take_updates,
            self._part_quarantine.receive_updates,
            lambda: self._connector.monitor.is_isolated,
            self._store_contact,
            delays=self._delays,
        )
        self._group_controller = self._build_group_controller()
        self._stop_plan = stop_plan.StopPlan()
        self._watcher_by_kind = {w.kind: w for w in self._build_watchers()}
        self._service = self._build_service()
        self._server = server.Server(
            self._service.handle,
            serves_while_draining=True,
            held_requests=self._held_requests,
            delays=self._delays,
        )
        self._divide_descriptors()
        self._readiness = server.Server(
            self._answer_readiness, serves_while_draining=True
        )
        self._metrics = server.Server(self._answer_metrics)
        self._is_stopping = False

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        stop_signal = signals.StopSignal()
        await self._spawn("settings", self._reload_settings_on_signal)
        await self._spawn("loop", loop_monitor.run, self._metric_registry)
        for kind, watcher in self._watcher_by_kind.items():
            await self._spawn(f"watch_{kind}", watcher.run)
        await self._spawn("watch_check", self._check_watchers)
        await self._spawn("quarantine", self._quarantine_records.run)
        await self._spawn("verdicts", self._crash_detection.records.run)
        host = self._settings.caller_address.host
        self._metrics.bind(messages.Address(host, METRICS_PORT))
        await self._metrics.start()
        self._readiness.bind(self._settings.readiness_address)
        await self._readiness.start()
        self._server.bind(self._settings.caller_address)
        await self._server.start()
        await self._node.start()
        await self._spawn("evidence", self._crash_detection.exchange.run)
        await self._spawn(
            "peer_updates", self._peer_updates.run, self._peer_update_address()
        )
        await self._spawn("links", self._connector.run)
        await self._spawn(
            "idle_connections",
            self._service.call_forwarder.close_unusable_connections,
        )
        await self._spawn("address_checks", self._build_address_checker().run)
        await self._spawn("groups", self._group_controller.run)
        LOG.info("started", address=str(self._settings.caller_address))
        await stop_signal.wait()
        await self._drain()

    async def _spawn(
        self, name: str, run: supervision.Run, *args: object
    ) -> None:
        await supervision.spawn(
            name, run, *args, metrics=self._metric_registry
        )

    def _peer_update_address(self) -> messages.Address:
        port = self._settings.peer_ports[0] + PEER_UPDATE_PORT_OFFSET
        return messages.Address(self._settings.caller_address.host, port)

    async def _drain(self) -> None:
        self._is_stopping = True
        LOG.info("stopping")
        await curio.spawn(self._group_controller.stop, daemon=True)
        await curio.spawn(self._node.stop, daemon=True)
        seconds = self._settings.bounds.grace_seconds - EXIT_RESERVE_SECONDS
        began = clock.monotonic()
        self._stop_plan.answers_until = clock.MonotonicTime(
            began + seconds - server.ANSWER_RESERVE_SECONDS
        )
        complete = await self._server.drain(seconds, DRAIN_LISTEN_SECONDS)
        left = began + seconds - clock.monotonic()
        async with curio.ignore_after(max(0.0, left)):
            await self._links.relay_service.wait_until_idle()
        LOG.info("stopped", complete=complete)

    def _build_watchers(self) -> list[object_watcher.ObjectWatcher]:
        bounds = self._settings.bounds
        manifest_handler = object_handlers.ManifestHandler(
            self._routes,
            object_kinds.MANIFEST_NAME,
            manifest.decode,
            self._on_manifest,
        )
        instance_handler = object_handlers.InstanceHandler(
            self._instances,
            instance_decoder.decode_entry,
            malformed_entries.MalformedEntries(
                object_kinds.INSTANCE_KIND, self._metric_registry
            ),
        )
        return [
            self._build_watcher(
                object_kinds.MANIFEST_KIND,
                manifest_handler.apply,
                bounds.configuration_seconds,
                logs_changes=True,
            ),
            self._build_watcher(
                object_kinds.INSTANCE_KIND,
                instance_handler.apply,
                bounds.drain_seconds,
                get_pause=self._instance_poll_pause,
                entries_expire=True,
            ),
            self._build_watcher(
                object_kinds.EVACUATION_KIND,
                self._evacuation_handler.apply,
                bounds.evacuation_seconds,
                logs_changes=True,
            ),
        ]

    def _build_watcher(
        self,
        kind: str,
        apply: object_watcher.ApplyListing,
        bound_seconds: float,
        get_pause: object_watcher.GetPause = watch_timing.min_pause,
        logs_changes: bool = False,
        entries_expire: bool = False,
    ) -> object_watcher.ObjectWatcher:
        return object_watcher.ObjectWatcher(
            self._store,
            kind,
            apply,
            on_contact=self._node.freshness.on_poll,
            get_pause=get_pause,
            is_publisher=self._holds_lease,
            bound_seconds=bound_seconds,
            contact_seconds=self._settings.bounds.contact_seconds,
            metrics=self._metric_registry,
            logs_changes=logs_changes,
            entries_expire=entries_expire,
            contact=self._store_contact,
        )

    async def _check_watchers(self) -> None:
        while True:
            now = clock.monotonic()
            for watcher in self._watcher_by_kind.values():
                watcher.check(now)
            await curio.sleep(WATCHER_CHECK_SECONDS)

    def _holds_lease(self) -> bool:
        return self._group_controller.lease.is_held(clock.monotonic())

    def _kind_updates_to_publish(
        self, now: clock.MonotonicTime
    ) -> list[kind_updates.KindUpdate]:
        if not self._group_controller.lease.is_held(now):
            return []
        updates = (
            watcher.publisher.take_update(kind, now)
            for kind, watcher in self._watcher_by_kind.items()
        )
        return [update for update in updates if update is not None]

    def _on_kind_update(
        self, update: kind_updates.KindUpdate, now: clock.MonotonicTime
    ) -> None:
        watcher = self._watcher_by_kind.get(update.kind)
        if watcher is not None:
            watcher.receive_update(update, now)

    def _instance_poll_pause(self) -> float:
        """Return the seconds between two watches of the instances.

        Daemons without the lease can watch less often, because the holder of
        the lease sends them the reports of the group heads that are open.
        """
        if self._holds_lease():
            return watch_timing.MIN_PAUSE_SECONDS
        return watch_timing.shared_pause(
            self._count_daemons(), self._settings.bounds.drain_seconds
        )

    def _build_group_controller(
        self,
    ) -> reported_group_controller.ReportedGroupController:
        lease = leases.Lease(
            self._store,
            reported_group_controller.LEASE_NAME,
            self._settings.daemon,
            lease_seconds=reported_group_controller.LEASE_SECONDS,
        )
        return reported_group_controller.ReportedGroupController(
            lease,
            self._build_engine_client(),
            self._instances,
            lambda: self._routes.current,
            lambda: self._evacuation_handler.zones_out,
            self._settings.bounds.stall_seconds,
            formation_planner.FormationPlanner(
                load_rate.LoadRateLimiter(
                    self._settings.bounds.load_window_seconds
                ),
                self._has_traffic,
                lambda: self._endpoints.demand_by_model,
            ),
            self._count_daemons,
            self._is_lease_candidate,
            self._peer_updates.outbox.put,
            self._endpoints.last_progress_at,
            lambda: self._connector.monitor.is_isolated,
            lambda instance: self._connector.is_reached_by_peers(
                instance.address
            ),
            self._endpoints.is_idle,
            self._peer_updates.delay_seconds,
        )

    def _build_address_checker(self) -> address_checks.AddressChecker:
        return address_checks.AddressChecker(
            self._instances,
            lambda: self._routes.current.service_by_name,
            self._build_engine_client().occupant,
            self._count_daemons,
            self._metric_registry,
        )

    def _build_engine_client(self) -> engine_client.PlatformEngineClient:
        return engine_client.PlatformEngineClient(self._probe_pool)

    def _build_links(self) -> assembly.Links:
        sources = assembly.LinkSources(
            self._endpoints.addresses,
            self._endpoints.waiting_addresses,
            self._may_relay_to,
            lambda: self._is_stopping,
            lambda daemon: self._peer_updates.is_peer_isolated(
                daemon, clock.monotonic()
            ),
        )
        return assembly.assemble(
            self._node.peers, sources, self._metric_registry, self._delays
        )

    def _may_relay_to(self, address: messages.Address) -> bool:
        zones_out = self._evacuation_handler.zones_out
        return any(
            instance.address == address
            and not instance.leaving
            and instance.zone not in zones_out
            for instance in self._instances.by_id.values()
        )

    def _build_service(self) -> service.CallService:
        bounds = self._settings.bounds
        selector = endpoint_selection.EndpointSelector(
            self._endpoints,
            self._instances,
            self._settings.zone,
            cold_quota.ColdQuota(
                cold_quota.ColdLimits(bounds.cold_factor, bounds.cold_burst),
                daemon_shares.DaemonShares(
                    self._node.members.own.id,
                    self._count_daemons,
                    self._member_ids,
                ),
            ),
            metrics=self._metric_registry,
            subsets=daemon_subsets.DaemonSubsets(
                self._node.members,
                lambda: self._peer_updates.hubs.uses_hubs,
            ),
        )
        budget = retry_budget.RetryBudget(
            bounds.retry_ratio,
            bounds.retry_burst,
            bounds.retry_window_seconds,
            self._count_daemons,
            clock.monotonic(),
        )
        return service.CallService(
            wire_format.read_envelope,
            self._routes,
            forwarder.Forwarder(
                wire_format,
                selector,
                budget,
                self._crash_detection.detector,
                part_admission.PartAdmission(
                    self._part_quarantine,
                    self._quarantine_records.claim_trial,
                ),
                self._connector,
                self._count_daemons,
                self._stop_plan,
                self._held_answers,
                self._delays,
                lambda: self._peer_updates.hubs.uses_hubs,
            ),
            self._metric_registry,
            is_ready=self._is_ready,
            get_known_ages=self._known_ages,
            delays=self._delays,
        )

    def _known_ages(self, now: clock.MonotonicTime) -> dict[str, int]:
        return {
            kind: watcher.in_force_ms_ago(now)
            for kind, watcher in self._watcher_by_kind.items()
        }

    def _is_ready(self) -> bool:
        """Return whether the manifest and the instances are known.

        Then requests wait a little for the evidence of peers on those that
        crash endpoints.
        """
        instances = self._watcher_by_kind[object_kinds.INSTANCE_KIND]
        return (
            self._routes.current.version > 0
            and instances.version != objects.ABSENT_VERSION
            and self._crash_detection.exchange.may_serve(clock.monotonic())
        )

    def _build_node(self) -> node_module.Node:
        first_port = self._settings.peer_ports[0]
        options = node_module.NodeOptions(
            self._settings.daemon,
            self._settings.zone,
            view.Role.ROUTER,
            messages.Address(self._settings.caller_address.host, first_port),
            cores=self._settings.cores,
        )
        return node_module.Node(
            options, self._store, clock.wall(), self._delays
        )

    def _has_traffic(self) -> bool:
        return (
            not self._settings.first_start or self._service.handled_count > 0
        )

    def _is_lease_candidate(self) -> bool:
        """Return whether this daemon has the most cores alive in its zone.

        Of several the one with the lowest id; isolated ones are passed over.
        """
        now = clock.monotonic()
        own = self._node.members.own
        alive = (
            (-p.cores, p.id)
            for p in self._node.members.live_routers()
            if p.zone == own.zone
            and p.state is view.PeerState.ALIVE
            and not self._peer_updates.is_peer_isolated(p.id, now)
        )
        own_rank = -own.cores, own.id
        return own_rank == min(alive, default=own_rank)

    def _count_daemons(self) -> int:
        """Return an upper estimate of the daemons that share a limit.

        It includes suspected and dead daemons, because a daemon that is
        merely disconnected continues to use its share, and leaving ones, which
        serve until the end of their grace period.
        """
        member_count = len(self._member_ids())
        if not self._node.registry.has_listed:
            return max(member_count, MIN_ASSUMED_DAEMONS)
        return member_count

    def _member_ids(self) -> list[ids.DaemonId]:
        senders = self._node.members.possible_senders(
            self._settings.bounds.grace_seconds, clock.monotonic()
        )
        return [peer.id for peer in senders]

    def _build_hub_selector(self) -> hub_selection.HubSelector:
        peers = hub_selection.MemberPeers(
            self._node.members, PEER_UPDATE_PORT_OFFSET
        )
        own = peers.convert(self._node.members.own)
        return hub_selection.HubSelector(own, peers.get, self._delays)

    async def _reload_settings_on_signal(self) -> None:
        """Reload the settings at each signal unless they are invalid."""
        reload_signal = signals.SignalWaiter(signals.RELOAD_SIGNALS)
        while True:
            # Signals during the start were ignored, so the first reload is
            # now.
            self._reload_settings()
            await reload_signal.wait()

    def _reload_settings(self) -> None:
        try:
            text = settings_module.path().read_text()
            self._settings = settings_module.read(text)
        except (OSError, settings_reader.InvalidSettings) as error:
            LOG.error("settings_reload_failed", reason=str(error))
        else:
            self._divide_descriptors()
            LOG.info("settings_reloaded")

    async def _answer_readiness(self, exchange: server.Exchange) -> None:
        ready = not self._is_stopping and self._is_ready()
        await exchange.respond(messages.Response(200 if ready else 503))

    async def _answer_metrics(self, exchange: server.Exchange) -> None:
        if exchange.request.path == exposition.EXPLANATION_PATH:
            # Not at the start, which is bound by the time of imports.
            from sycamoredale.forwarding import explanation

            explainer = explanation.Explainer(
                self._service.call_forwarder.selector, self._routes
            )
            response = explainer.respond(exchange.request, clock.monotonic())
            await exchange.respond(response)
            return
        fields = [("Content-Type", exposition.CONTENT_TYPE)]
        registry = self._metric_registry
        registry.set_gauge(
            "config_version", "main", self._routes.current.version
        )
        self._record_sockets()
        registry.set_gauge(
            "slow_endpoints",
            "main",
            sum(e.pace.is_slow for e in self._endpoints.by_id.values()),
        )
        self._held_answers.set_gauge()
        self._held_requests.set_gauge()
        text = registry.render()
        await exchange.respond(
            messages.Response(200, messages.Headers(fields), text.encode())
        )

    def _record_sockets(self) -> None:
        """Set the gauges of the connections that are open and allowed."""
        shares = self._shares
        calls = self._service.call_forwarder
        for share, open_count, allowed in (
            ("callers", self._server.connection_count(), shares.callers),
            ("endpoints", calls.connection_count(), shares.endpoints),
            ("probes", self._probe_pool.open_count(), shares.probes),
            (
                "relays",
                self._links.relay_service.open_count,
                shares.relays,
            ),
            (
                "from_peers",
                self._node.peer_connection_count(),
                shares.from_peers,
            ),
            ("to_peers", self._node.pool.open_count(), shares.to_peers),
        ):
            self._metric_registry.set_gauge("sockets_open", share, open_count)
            self._metric_registry.set_gauge("sockets_allowed", share, allowed)

    def _on_manifest(self) -> None:
        self._limit_callers()
        self._rebuild_endpoints()
        self._service.caller_waits.retain(
            frozenset(route.name for route in self._routes.current.routes)
        )

    def _divide_descriptors(self) -> None:
        """Bound what opens sockets by its share of the descriptors."""
        self._shares = descriptor_shares.divide(
            descriptor_shares.process_limit(
                self._settings.max_file_descriptors
            )
        )
        self._service.call_forwarder.limit_connections(self._shares.endpoints)
        self._probe_pool.max_open = self._shares.probes
        self._links.relay_service.max_relays = self._shares.relays
        self._node.limit_connections(
            self._shares.from_peers, self._shares.to_peers
        )
        self._limit_callers()

    def _limit_callers(self) -> None:
        callers = self._shares.callers
        limits = self._routes.current.limits
        if limits is None:
            self._server.set_limits(server.Limits(max_connections=callers))
            return
        self._server.set_limits(
            server.Limits(
                limits.header_limit_bytes,
                limits.body_limit_bytes,
                limits.header_timeout_seconds,
                limits.idle_timeout_seconds,
                callers,
            )
        )

    def _rebuild_endpoints(self) -> None:
        self._endpoints.rebuild()


def run() -> None:
    """Run a daemon until a stop signal; raise InvalidSettings."""
    settings = settings_module.read(settings_module.path().read_text())
    logs.configure(
        "info",
        line_writer.LineWriter(sys.stdout.fileno()),
        daemon=settings.daemon,
    )
    delays = loop_delays.LoopDelays()
    curio.run(
        EntryDaemon(settings, delays).run,
        selector=loop_delays.DelayRecordingSelector(delays),
    )
