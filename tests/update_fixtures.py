"""Build selectors of hubs for fleets without a network."""

from sycamoredale.forwarding import hub_selection
from sycamoredale.http import messages
from sycamoredale import ids


def peer(name, zone="a", cores=1.0, number=1):
    """Return a daemon that updates are sent to."""
    return hub_selection.UpdatePeer(
        ids.DaemonId(name),
        ids.ZoneName(zone),
        messages.Address("127.0.0.1", number),
        cores,
    )


def selector(name, peers=(), zone="a"):
    """Return the selector of a daemon with a fixed set of peers."""
    fixed = list(peers)
    return hub_selection.HubSelector(peer(name, zone), lambda: fixed)
