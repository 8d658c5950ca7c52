"""Run a controller: form groups of instances and send orders to engines."""

from typing import Final

import curio

from sycamoredale.config import model as config_model
from sycamoredale.config import store as config_store
from sycamoredale.daemons import components
from sycamoredale.daemons import followers
from sycamoredale.daemons import options
from sycamoredale.daemons import signals
from sycamoredale.groups import group_controller
from sycamoredale.http import client
from sycamoredale import loop_delays
from sycamoredale.membership import view
from sycamoredale.object_api import budget
from sycamoredale.object_api import instances
from sycamoredale.object_api import weights
from sycamoredale.observability import logs
from sycamoredale import supervision

LOG: Final = logs.get("controller")
STOP_TIMEOUT_SECONDS: Final = 2.0


class Controller:
    """Control groups according to the configuration in force."""

    def __init__(
        self,
        settings: options.ControllerOptions,
        delays: loop_delays.LoopDelays | None = None,
    ) -> None:
        """Initialize all components without starting tasks.

        `delays` are those of the event loop that runs the daemon.
        """
        pool = client.Pool()
        address = settings.common.platform
        shared = components.build(
            settings.common,
            view.Role.CONTROLLER,
            delays or loop_delays.LoopDelays(),
        )
        self._node = shared.node
        self._configuration = followers.ConfigurationFollower(
            shared.store.with_priority(budget.Priority.FOLLOW),
            shared.node,
            lambda accepted: None,
        )
        self._group_controller = group_controller.GroupController(
            settings.common.daemon,
            group_controller.Platform(
                shared.store,
                instances.InstanceList(address, pool),
                weights.WeightStore(address, pool),
            ),
            self._accepted_configuration,
            settings.interval_seconds,
        )

    async def run(self) -> None:
        """Control groups until SIGTERM or SIGINT, then release the leases."""
        stop_signal = signals.StopSignal()
        await self._node.start()
        await supervision.spawn("configuration", self._configuration.run)
        control_task = await supervision.spawn(
            "groups", self._group_controller.run
        )
        LOG.info("controller_started")
        await stop_signal.wait()
        await control_task.cancel()
        async with curio.ignore_after(STOP_TIMEOUT_SECONDS):
            await self._group_controller.stop()
        await self._node.stop()
        LOG.info("controller_stopped")

    def _accepted_configuration(self) -> config_model.Configuration | None:
        accepted = self._configuration.accepted
        if accepted.generation == config_store.NOTHING_ACCEPTED.generation:
            return None
        return accepted.configuration


def run(settings: options.ControllerOptions) -> None:
    """Run a controller until a stop signal."""
    logs.configure(settings.common.log_level, daemon=settings.common.daemon)
    delays = loop_delays.LoopDelays()
    curio.run(
        Controller(settings, delays).run,
        selector=loop_delays.DelayRecordingSelector(delays),
    )
