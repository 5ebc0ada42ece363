"""The gateway process: servers, tasks, signals and shutdown."""

import json
import os
import random
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from logbook import Logger

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock, SuspendAwareClock
from sassafrasdale.deployment import GatewaySettings
from sassafrasdale.gateway.components import GatewayComponents
from sassafrasdale.gateway.drain import Drain
from sassafrasdale.green import listen, make_green, sleep, spawn
from sassafrasdale.http.messages import Request
from sassafrasdale.http.server import HttpServer, ServerConnection, ServerLimits
from sassafrasdale.logs import start_logs
from sassafrasdale.platform.early_listener import take_early_listener
from sassafrasdale.platform.exceptions import AdapterError
from sassafrasdale.signals import handle_signals
from sassafrasdale.structures import Address
from sassafrasdale.tasks import run_forever

log = Logger("gateway")

# Interval at which the main task checks for signals and expired state.
TICK_INTERVAL = timedelta(milliseconds=100)
# Size of a forwarded request beyond its body: its headers and what the hop adds.
FORWARD_OVERHEAD_BYTES = 256 * 1024
# Longest time that a start waits for a peer's report. Peers may be partitioned.
MAX_REPORT_WAIT = timedelta(seconds=1)
# Path at which operators list and lift quarantines, on the metrics port.
QUARANTINE_TARGET = "/quarantine"
# Path at which operators see which requests wait here, on the metrics port.
QUEUES_TARGET = "/queues"
# Path at which operators list rollouts, on the metrics port.
ROLLOUTS_TARGET = "/rollouts"


class Gateway:
    """A gateway process with its servers and tasks.

    :param settings: settings of the process.
    :param reload_settings: reads the settings again.
    :param metrics_address: address of the metrics server; None for no server.
    :param clock: source of time.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reload_settings: Callable[[], GatewaySettings],
        metrics_address: Address | None = None,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._reload_settings = reload_settings
        self._metrics_address = metrics_address
        self._clock = clock or SuspendAwareClock()
        self._lifecycle = Lifecycle(load_chart("entry"))
        self._stop_requested = False
        self._started_at = self._clock.elapsed()
        self._reload_requested = False
        self._drain: Drain | None = None
        self._components = GatewayComponents(
            settings,
            self._clock,
            rng or random.Random(),
            self._may_serve,
            self._request_deadline,
        )

    def run(self) -> None:
        """Serve until the process receives a stop signal."""
        settings = self._settings
        server = HttpServer(
            self._open_listener(settings.address),
            self._components.frontend.handle,
            self._clock,
            limits=self._caller_limits,
            is_draining=lambda: self._lifecycle.state == "draining",
        )
        spawn(server.serve)
        self._serve(settings.ready_address, self._handle_ready)
        self._serve_peers(settings.peer_address)
        if self._metrics_address is not None:
            self._serve(self._metrics_address, self._handle_metrics)
        handle_signals(
            {
                signal.SIGTERM: self._request_stop,
                signal.SIGINT: self._request_stop,
                signal.SIGHUP: self._request_reload,
            }
        )
        components = self._components
        tasks = components.store_view.tasks() + components.duties.tasks()
        tasks += [components.registration.run, components.poller.run]
        tasks += [
            components.peering.run,
            components.dispatcher_client.run,
            components.queues.run,
            components.strike_records.run,
            components.version_register.run,
            components.report_streams,
            components.departure_checks.run,
            components.links.run,
        ]
        if components.takes_datagrams:
            tasks.append(components.datagrams.run)
        for task in tasks:
            spawn(run_forever, task)
        log.info(
            "gateway started",
            address=str(settings.address),
            incarnation=self._components.incarnation,
        )
        while not self._stop_requested:
            self._tick()
            sleep(TICK_INTERVAL)
        self._stop(server)

    def _open_listener(self, address: Address) -> socket.socket:
        early_listener = take_early_listener(str(address))
        return listen(address) if early_listener is None else make_green(early_listener)

    def _serve(
        self, address: Address, handle: Callable[[ServerConnection, Request], None]
    ) -> None:
        spawn(HttpServer(listen(address), handle, self._clock).serve)

    def _serve_peers(self, address: Address) -> None:
        """Serve other gateways, which may forward what callers may send."""
        server = HttpServer(
            listen(address),
            self._components.handle_peer,
            self._clock,
            limits=self._peer_limits,
        )
        spawn(server.serve)

    def _peer_limits(self) -> ServerLimits:
        defaults = ServerLimits()
        longest = self._caller_limits().body_bytes + FORWARD_OVERHEAD_BYTES
        return replace(defaults, body_bytes=max(defaults.body_bytes, longest))

    def _tick(self) -> None:
        if self._reload_requested:
            self._reload_requested = False
            self._reload()
        self._components.fleet.refresh_peer_loads()
        self._components.dispatcher.drop_unresponsive()
        if not self._components.peering.is_aggregator:
            self._components.dispatcher.resign()
        self._components.directory.drop_expired()
        self._components.directory.confirm_versions()
        self._components.gate.remove_gone()
        self._components.time.update()
        self._components.quarantine.log_changes()
        self._may_serve()

    def _become_ready(self) -> None:
        self._lifecycle.fire("prepare")
        log.notice(
            "gateway ready",
            version=self._components.store_view.configuration.version,
            endpoints=len(self._components.directory.records),
        )

    def _has_required_state(self) -> bool:
        # Without the list of gateways, each of many that start at once would use the
        # whole limit of each customer. Without the stored strikes, a request that
        # crashes endpoints would crash as many again.
        return (
            self._components.store_view.is_loaded
            and self._components.registration.has_read_list
            and self._components.strike_records.is_loaded
            and self._components.version_register.is_loaded
            and self._knows_endpoints()
        )

    def _knows_endpoints(self) -> bool:
        """Return whether peers have reported what endpoints advertise.

        Without that, a gateway that starts would send endpoints more than they take.
        """
        if self._components.gate.has_received or not self._components.peering.has_peers:
            return True
        return self._clock.elapsed() - self._started_at >= MAX_REPORT_WAIT

    def _stop(self, server: HttpServer) -> None:
        self._lifecycle.fire("leave")
        self._components.peering.leave()
        log.notice("gateway stopping", busy=server.busy_connections)
        spawn(self._release_leases)
        spawn(self._components.peering.report_now)
        self._drain = Drain(
            server,
            self._settings.bounds.stop_grace,
            self._clock,
            lambda: self._components.forwarding_receiver.in_flight,
        )
        self._drain.run()
        self._components.peering.report_now()
        self._lifecycle.fire("drained")
        log.notice("gateway stopped", busy=server.busy_connections)

    def _may_serve(self) -> bool:
        has_required_state = self._has_required_state()
        if self._lifecycle.state == "starting" and has_required_state:
            self._become_ready()
        return has_required_state

    def _request_deadline(self) -> timedelta | None:
        return self._drain.last_end if self._drain else None

    def _release_leases(self) -> None:
        self._components.duties.release()
        self._components.registration.release()

    def _request_stop(self) -> None:
        self._stop_requested = True

    def _request_reload(self) -> None:
        self._reload_requested = True

    def _reload(self) -> None:
        try:
            self._settings = self._reload_settings()
        except AdapterError as error:
            log.error(
                "settings not reloaded, the previous ones stay in force", why=str(error)
            )
            return
        log.notice("settings reloaded")

    def _caller_limits(self) -> ServerLimits:
        limits = self._components.store_view.caller_limits
        return ServerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout,
            limits.idle_timeout,
        )

    def _handle_ready(self, connection: ServerConnection, request: Request) -> None:
        ready = self._lifecycle.state == "ready"
        connection.answer(200 if ready else 503)

    def _handle_metrics(self, connection: ServerConnection, request: Request) -> None:
        if request.target.startswith(QUARANTINE_TARGET):
            self._handle_quarantine(connection, request)
            return
        if request.target == ROLLOUTS_TARGET:
            self._respond_json(connection, self._components.rollouts.describe())
            return
        if request.target == QUEUES_TARGET:
            self._respond_json(connection, self._components.describe_queues())
            return
        headers = [("content-type", self._components.metrics.content_type)]
        connection.answer(200, headers, self._components.metrics.metrics_page())

    def _handle_quarantine(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """List the requests with strikes, or lift the quarantine of one."""
        quarantine = self._components.quarantine
        name = request.target.removeprefix(QUARANTINE_TARGET).removeprefix("/")
        if request.method == "GET" and not name:
            self._respond_json(connection, quarantine.describe())
        elif request.method == "DELETE" and name:
            connection.answer(204 if quarantine.release(name) else 404)
        else:
            connection.answer(405)

    def _respond_json(
        self,
        connection: ServerConnection,
        document: list[dict[str, object]] | dict[str, object],
    ) -> None:
        headers = [("content-type", "application/json")]
        connection.answer(200, headers, json.dumps(document).encode())


def run_gateway(
    read_settings: Callable[[], GatewaySettings],
    *,
    metrics_port: int | None = None,
    log_level: str = "info",
) -> None:
    """Run a gateway process until it receives a stop signal.

    :param read_settings: reads the settings, now and at each reload.
    :raises AdapterError: if the settings can't be used.
    """
    settings = read_settings()
    logs = start_logs(settings.name, log_level, sys.stdout)
    metrics_address = None
    if metrics_port is not None:
        metrics_address = Address(settings.peer_address.host, metrics_port)
    Gateway(settings, read_settings, metrics_address).run()
    logs.close()
    # Skips the cleanup of idle connections that may be left in the event loop.
    os._exit(0)
