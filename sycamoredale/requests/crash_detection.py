"""Assemble what a daemon knows of requests that crash endpoints.

The detector decides, the exchange learns from peers, and the records outlive
all daemons.
"""

import collections.abc
import dataclasses

from sycamoredale import clock
from sycamoredale.membership import gossip as gossip_module
from sycamoredale.membership import node as node_module
from sycamoredale.object_api import objects
from sycamoredale.requests import evidence_exchange
from sycamoredale.requests import poison
from sycamoredale.requests import verdict_records


@dataclasses.dataclass(frozen=True, slots=True)
class CrashDetection:
    """Hold the detector and the tasks that keep its evidence complete."""

    detector: poison.PoisonDetector
    exchange: evidence_exchange.EvidenceExchange
    records: verdict_records.VerdictRecords


def assemble(
    node: node_module.Node,
    store: objects.ObjectStore,
    is_writer: collections.abc.Callable[[], bool],
) -> CrashDetection:
    """Return the crash detection of a daemon, and follow its peers' notices.

    `is_writer` returns whether this daemon writes the records.
    """
    detector = poison.PoisonDetector(node.gossip)
    node.gossip.subscribe(
        gossip_module.Topic.POISON,
        lambda notice: detector.handle_notice(notice, clock.monotonic()),
    )
    records = verdict_records.VerdictRecords(store, detector, is_writer)
    exchange = evidence_exchange.EvidenceExchange(
        detector.evidence,
        node.registry,
        node.peers,
        lambda: records.is_loaded,
    )
    return CrashDetection(detector, exchange, records)
