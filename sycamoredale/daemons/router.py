"""Run a router: accept calls, select endpoints and relay the answers.

A router does not depend on a controller.  During an outage of the object
API it continues with the latest state that it has read.
"""

from typing import Final

import curio

from sycamoredale.admission import admission_controller
from sycamoredale.admission import usage
from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.config import store as config_store
from sycamoredale.daemons import caller_service
from sycamoredale.daemons import components
from sycamoredale.daemons import followers
from sycamoredale.daemons import options
from sycamoredale.daemons import signals
from sycamoredale.engines import reports
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.links import assembly
from sycamoredale.links import monitor as link_monitor
from sycamoredale import loop_delays
from sycamoredale.membership import freshness
from sycamoredale.membership import gossip
from sycamoredale.membership import view
from sycamoredale.object_api import budget
from sycamoredale.observability import exposition
from sycamoredale.observability import logs
from sycamoredale.observability import metrics
from sycamoredale.observability import request_observer
from sycamoredale.requests import at_most_once
from sycamoredale.requests import call
from sycamoredale.requests import claim_service
from sycamoredale.requests import claim_writer
from sycamoredale.requests import crash_detection
from sycamoredale.requests import dispatch
from sycamoredale.requests import part_admission
from sycamoredale.requests import part_gossip
from sycamoredale.requests import part_quarantine
from sycamoredale.requests import quarantine_records
from sycamoredale.routing import cache_event_poller
from sycamoredale.routing import cold_start_limiter
from sycamoredale.routing import cold_start_record_store
from sycamoredale.routing import endpoint_selection
from sycamoredale.routing import health
from sycamoredale.routing import slot_lease_manager
from sycamoredale.routing import table
from sycamoredale import supervision

DRAIN_LISTEN_SECONDS: Final = 2.0
SETTLE_TIMEOUT_SECONDS: Final = 5.0
LOG: Final = logs.get("router")


class Router:
    """Serve calls with the configuration and assignments in force."""

    def __init__(
        self,
        settings: options.RouterOptions,
        delays: loop_delays.LoopDelays | None = None,
    ) -> None:
        """Initialize all components without listening.

        `delays` are those of the event loop that runs the daemon.
        """
        self._delays = delays or loop_delays.LoopDelays()
        common = settings.common
        self._settings = settings
        shared = components.build(common, view.Role.ROUTER, self._delays)
        follow_store = shared.store.with_priority(budget.Priority.FOLLOW)
        self._node = shared.node
        self._store = shared.store
        self._routing_table = table.RoutingTable()
        self._configuration = followers.ConfigurationFollower(
            follow_store, self._node, self._on_accepted
        )
        self._assignments = followers.AssignmentFollower(
            follow_store, self._node, self._routing_table
        )
        self._gossip = self._node.gossip
        self._members = self._node.members
        self._selector = self._build_selector()
        self._links = self._build_links()
        self._part_quarantine = part_quarantine.PartQuarantine()
        self._quarantine_records = quarantine_records.QuarantineRecords(
            self._store, self._part_quarantine
        )
        self._part_gossip = part_gossip.PartGossip(
            self._gossip, self._part_quarantine
        )
        self._crash_detection = crash_detection.assemble(
            self._node, self._store, self._node.is_watcher
        )
        self._dispatcher = dispatch.Dispatcher(
            self._selector,
            client.Pool(
                self._links.connector.open, self._links.connector.may_reuse
            ),
            self._crash_detection.detector,
            parts=part_admission.PartAdmission(
                self._part_quarantine, self._quarantine_records.claim_trial
            ),
            links=self._links.connector.monitor,
        )
        self._admission = self._build_admission()
        observer = request_observer.RequestObserver(
            metrics.create_sink(common.statsd, common.daemon)
        )
        self._node.peers.register(request_observer.PATH, observer.answer_peer)
        self._admission.on_admitted = observer.record_admission
        self._at_most_once = self._build_at_most_once()
        callers = caller_service.CallerService(
            observer=observer,
            get_configuration=self._current_configuration,
            get_health=self._health,
            admission=self._admission,
            dispatcher=self._dispatcher,
            at_most_once=self._at_most_once,
            is_ready=self._is_ready,
            get_standing=self._node.standing,
        )
        self._server = server.Server(
            callers.handle,
            request_id_header=call.REQUEST_ID_HEADER,
            paths_served_while_draining=frozenset(
                (caller_service.HEALTH_PATH,)
            ),
            delays=self._delays,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        stop_signal = signals.StopSignal()
        await self._node.start()
        run_by_name: dict[str, supervision.Run] = {
            "configuration": self._configuration.run,
            "assignments": self._assignments.run,
            "cold_start_records": self._record_store.run,
            "cache_events": self._cache_event_poller.run,
            "admission": self._admission.run,
            "slot_leases": self._slot_lease_manager.run,
            "liveness": self._dispatcher.liveness_monitor.run,
            "quarantine": self._quarantine_records.run,
            "part_gossip": self._part_gossip.run,
            "evidence": self._crash_detection.exchange.run,
            "verdicts": self._crash_detection.records.run,
            "links": self._links.connector.run,
        }
        for name, run_task in run_by_name.items():
            await supervision.spawn(name, run_task)
        bound = self._server.bind(self._settings.listen)
        await self._server.start()
        LOG.info("router_listening", address=str(bound))
        await stop_signal.wait()
        await self._drain()

    async def _drain(self) -> None:
        LOG.info("router_draining")
        await curio.spawn(self._node.stop, daemon=True)
        complete = await self._server.drain(
            self._settings.drain_seconds, DRAIN_LISTEN_SECONDS
        )
        settled = False
        async with curio.ignore_after(SETTLE_TIMEOUT_SECONDS):
            await self._at_most_once.wait_until_idle()
            await self._links.relay_service.wait_until_idle()
            settled = True
        LOG.info("router_stopped", complete=complete, settled=settled)

    def _is_ready(self) -> bool:
        return (
            self._configuration.accepted.generation > 0
            and self._crash_detection.exchange.may_serve(clock.monotonic())
        )

    def _current_configuration(self) -> config_model.Configuration:
        return self._configuration.accepted.configuration

    def _build_selector(self) -> endpoint_selection.EndpointSelector:
        zone = self._settings.common.zone
        endpoint_health = health.HealthTracker(self._gossip)
        self._gossip.subscribe(
            gossip.Topic.ENDPOINT,
            lambda notice: endpoint_health.handle_notice(
                notice, clock.monotonic()
            ),
        )
        cold_limiter = cold_start_limiter.ColdStartLimiter(
            self._routing_table, self._count_routers
        )
        self._record_store = cold_start_record_store.ColdStartRecordStore(
            cold_limiter, self._store, self._gossip, zone
        )
        self._slot_lease_manager = slot_lease_manager.SlotLeaseManager(
            cold_limiter,
            self._store,
            reports.EngineReportClient(self._node.pool),
            self._record_store,
            self._current_configuration,
            self._settings.common.daemon,
            zone,
        )
        selector = endpoint_selection.EndpointSelector(
            self._routing_table, zone, endpoint_health, cold_limiter
        )
        self._cache_event_poller = cache_event_poller.CacheEventPoller(
            self._routing_table,
            selector.cached_prefixes,
            reports.EngineReportClient(self._node.pool),
            zone,
        )
        return selector

    def _build_links(self) -> assembly.Links:
        sources = assembly.LinkSources(
            self._endpoint_addresses,
            self._waiting_addresses,
            lambda address: address in self._endpoint_addresses(),
            lambda: self._server.draining,
        )
        built = assembly.assemble(
            self._node.peers,
            sources,
            exposition.MetricRegistry(),
            self._delays,
        )
        built.connector.monitor.on_change.append(self._on_links_changed)
        return built

    def _endpoint_addresses(self) -> list[messages.Address]:
        return [e.address for e in self._routing_table.by_id.values()]

    def _waiting_addresses(
        self, now: clock.MonotonicTime
    ) -> list[messages.Address]:
        del now
        if not any(e.in_flight for e in self._routing_table.by_id.values()):
            return []
        return self._endpoint_addresses()

    def _on_links_changed(self, state: link_monitor.LinkState) -> None:
        """Trust endpoints again whose failures were those of own links."""
        if state is link_monitor.LinkState.ISOLATED:
            self._selector.health.trust_all()

    def _build_admission(self) -> admission_controller.AdmissionController:
        usage_tracker = usage.UsageTracker(self._gossip, self._count_routers)
        self._gossip.subscribe(
            gossip.Topic.USAGE,
            lambda notice: usage_tracker.handle_notice(
                notice, clock.monotonic()
            ),
        )
        return admission_controller.AdmissionController(
            self._selector, usage_tracker, self._current_configuration
        )

    def _count_routers(self) -> int:
        return sum(1 for _ in self._members.live_routers())

    def _build_at_most_once(self) -> at_most_once.AtMostOnceRunner:
        writer = claim_writer.ClaimWriter(
            self._store.with_priority(budget.Priority.CLAIM),
            lambda: (
                self._configuration.accepted.configuration.limits
            ).result_retention_seconds,
        )
        service = claim_service.ClaimService(
            writer, self._node.members, self._node.peers
        )
        self._node.peers.register(claim_service.PEER_PATH, service.answer_peer)
        return at_most_once.AtMostOnceRunner(
            self._dispatcher, service, self._admission.admit
        )

    def _on_accepted(
        self, accepted: config_store.AcceptedConfiguration
    ) -> None:
        self._routing_table.apply_configuration(accepted.configuration)

    def _health(self) -> messages.Response:
        draining = self._server.draining
        standing = self._node.standing(clock.monotonic())
        body = {
            "daemon": self._settings.common.daemon,
            "draining": draining,
            "generation": self._configuration.accepted.generation,
            "endpoints": len(self._routing_table.by_id),
            "peers": self._node.count_live_daemons(),
            "standing": standing.value,
        }
        isolated = standing is freshness.Standing.ISOLATED
        unavailable = draining or isolated or not self._is_ready()
        return messages.json_response(503 if unavailable else 200, body)


def run(settings: options.RouterOptions) -> None:
    """Run a router until a stop signal."""
    logs.configure(settings.common.log_level, daemon=settings.common.daemon)
    delays = loop_delays.LoopDelays()
    curio.run(
        Router(settings, delays).run,
        selector=loop_delays.DelayRecordingSelector(delays),
    )
