"""Assemble the links of a daemon: monitor, connector and relay service."""

import collections.abc
import dataclasses

from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.links import connector
from sycamoredale.links import monitor
from sycamoredale.links import relay_client
from sycamoredale.links import relay_protocol
from sycamoredale.links import relay_service
from sycamoredale import loop_delays
from sycamoredale.membership import peer_service
from sycamoredale.observability import exposition


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSources:
    """Say what the links of a daemon are judged by.

    `may_relay_to` tells whether this daemon would use an instance itself.
    """

    get_addresses: connector.GetAddresses
    find_waiting: connector.FindWaiting
    may_relay_to: collections.abc.Callable[[messages.Address], bool]
    is_stopping: collections.abc.Callable[[], bool]
    is_peer_isolated: collections.abc.Callable[[ids.DaemonId], bool] = (
        lambda daemon: False
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Links:
    """Hold what opens connections to endpoints, for this daemon and peers."""

    connector: connector.EndpointConnector
    relay_service: relay_service.RelayService


def assemble(
    peers: peer_service.PeerService,
    sources: LinkSources,
    metrics: exposition.MetricRegistry,
    delays: loop_delays.LoopDelays,
) -> Links:
    """Return the links of a daemon, and relay for its peers."""
    built = connector.EndpointConnector(
        monitor.LinkMonitor(
            lambda: len(sources.get_addresses()), metrics, delays=delays
        ),
        relay_client.RelayClient(peers.members, sources.is_peer_isolated),
        sources.get_addresses,
        sources.find_waiting,
    )
    service = relay_service.RelayService(
        built, peers.members, sources.may_relay_to, sources.is_stopping
    )
    peers.register_upgrade(relay_protocol.PATH, service.handle)
    return Links(built, service)
