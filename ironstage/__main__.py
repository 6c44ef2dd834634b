"""Entry point of `python -m ironstage`: runs one limiter until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import signal
import sys

import uvloop

from ironstage.net import config as configuration
from ironstage.net.clients import Clients
from ironstage.net.discovery import Watch, count_discovery_clients, expected_list_bytes
from ironstage.net.limiter import RESERVED_DESCRIPTOR_COUNT, SERVER_CONNECTION_FRACTION, Limiter
from ironstage.net.memory import MemoryAccount, MemoryBudget, resident_bytes

log = logging.getLogger("ironstage")

STALE_CONNECTION_CHECK_INTERVAL_S = 0.25


async def _close_stale_connections(limiter: Limiter, clients: Clients) -> None:
    """Close expired server connections and stalled client connections at regular intervals."""
    while True:
        await asyncio.sleep(STALE_CONNECTION_CHECK_INTERVAL_S)
        limiter.close_expired_connections()
        clients.close_stalled_connections()


def _handle_reload_signal(watch: Watch) -> None:
    """Switch to the discovery address in the replaced configuration file; ignore an invalid file."""
    try:
        address = configuration.reload_discovery_address(os.environ)
    except configuration.ConfigError as error:
        log.error("configuration not reloaded: %s", error)
        return
    log.info("configuration reloaded: discovery is at %s:%d", *address)
    watch.change_address(address)


async def serve(config: configuration.Config) -> None:
    """Serve until a stop signal, then finish the open requests."""
    loop, stop_event = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    budget = MemoryBudget.divide(config.memory_limit_bytes, resident_bytes())
    memory = MemoryAccount(budget.account_bytes)
    limiter = Limiter(config, memory, budget.max_customer_count, budget.max_server_count)
    client_descriptor_count = int(
        (config.sockets - RESERVED_DESCRIPTOR_COUNT) * (1 - SERVER_CONNECTION_FRACTION)
    )
    max_client_connections = min(client_descriptor_count, budget.max_client_connection_count)
    clients = Clients(limiter, config.settings, config.listen, max_client_connections, memory)
    watch = Watch(
        config.discovery,
        limiter.apply_host_list,
        random.Random(config.seed),
        memory,
        count_discovery_clients(config.settings),
        expected_list_bytes(config.known),
    )
    watch.seq = limiter.cached_list_seq
    loop.add_signal_handler(signal.SIGHUP, _handle_reload_signal, watch)
    tasks = [
        loop.create_task(watch.run()),
        loop.create_task(_close_stale_connections(limiter, clients)),
    ]
    clients.listen()
    log.info("%s is listening on %s:%d", config.name, *clients.address)
    await stop_event.wait()
    log.info("stop signal received; finishing the open requests")
    await clients.drain()
    for task in tasks:
        task.cancel()
    limiter.close()


def main() -> int:
    """Run a limiter. Return the exit status: 0 after a stop signal, 2 without a valid configuration."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        config = configuration.load(os.environ)
    except configuration.ConfigError as error:
        log.error("limiter not started: %s", error)
        return 2
    # Objects created at startup stay until exit; scanning them in every collection would delay requests.
    gc.freeze()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
