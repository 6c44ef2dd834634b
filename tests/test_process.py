"""The limiter as a process: configuration, signals and the limit of file descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
import signal
from pathlib import Path
from typing import Any

import pytest
from limiter_process import running_process
from sockets import (
    SETTINGS,
    ReceivedRequest,
    backend,
    build_request,
    discovery_agent,
    host_entry,
    run,
    wait_until,
)

from ironstage.net.config import ConfigError, load


async def echo_request_id(request: ReceivedRequest) -> None:
    """Answer a request with its Req-Id as the body."""
    request.reply(body=request.headers["req-id"].encode())


@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_finishes_open_requests_before_exit(tmp_path: Path, stop_signal: signal.Signals) -> None:
    """A stop signal must not lose requests that are open, partly received or sent on late connections.

    Idle connections are closed and /up answers 503, but the listener accepts connections for a while. The
    last response on each connection closes it, and the process then exits with status 0.
    """

    async def test() -> None:
        async with backend() as server, running_process(tmp_path, host_entry("a", server.address)) as limiter:
            idle_client, busy_client = await limiter.connect(), await limiter.connect()
            assert (await idle_client.request(b"GET /up HTTP/1.1\r\n\r\n")).status_code == 200
            busy_client.send(build_request("fix", "open"))
            open_request = await server.request_queue.get()
            limiter.process.send_signal(stop_signal)
            await idle_client.wait_closed()
            late_client = await limiter.connect()
            late_client.send(b"GET /up HTTP/1.1\r\n\r\n" + build_request("fix", "late"))
            late_request = await server.request_queue.get()
            await echo_request_id(late_request)
            response = await late_client.read_response()
            assert (response.status_code, response.headers.get("connection")) == (503, None)
            response = await late_client.read_response()
            assert (response.body, response.headers["connection"]) == (b"late", "close")
            await late_client.wait_closed()
            last_client = await limiter.connect()
            last_client.send(build_request("fix", "half", b"body")[:-4])
            with contextlib.suppress(ConnectionRefusedError):
                while True:  # until the listener is closed
                    (await limiter.connect()).close()
                    await asyncio.sleep(0.01)
            last_client.send(b"body")
            await echo_request_id(await server.request_queue.get())
            response = await last_client.read_response()
            assert (response.body, response.headers["connection"]) == (b"half", "close")
            await echo_request_id(open_request)
            response = await busy_client.read_response()
            assert (response.body, response.headers["connection"]) == (b"open", "close")
            assert await limiter.process.wait() == 0

    run(test())


def test_connections_beyond_descriptor_limit_wait(tmp_path: Path) -> None:
    """Running out of file descriptors must not stop the limiter.

    The limiter answers its open requests, and accepts the waiting connections once descriptors are free.
    """

    def set_descriptor_limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (48, 48))

    async def test() -> None:
        async with (
            backend() as server,
            running_process(
                tmp_path, host_entry("a", server.address), before_exec=set_descriptor_limit
            ) as limiter,
        ):
            first_client = await limiter.connect()
            first_client.send(build_request("fix", "open"))
            open_request = await server.request_queue.get()
            # Each client sends part of a request, as the limiter would close idle connections for others.
            clients = [await limiter.connect() for _ in range(80)]
            for client in clients:
                client.send(build_request("fix")[:10])
            log_path = tmp_path / "log"
            await wait_until(lambda: "no descriptor for a new connection" in log_path.read_text())
            await echo_request_id(open_request)
            assert (await first_client.read_response()).body == b"open"
            server.handler = echo_request_id
            waiting_client = clients.pop()
            for client in clients:
                client.close()
            waiting_client.send(build_request("fix", "waited")[10:])
            assert (await waiting_client.read_response()).body == b"waited"
            limiter.process.send_signal(signal.SIGTERM)
            assert await limiter.process.wait() == 0
            assert "Traceback" not in log_path.read_text()

    run(test())


def test_sighup_reloads_discovery_address(tmp_path: Path) -> None:
    """On SIGHUP the limiter watches discovery at the new address; an invalid file is reported and ignored."""

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            discovery_agent() as old_agent,
            discovery_agent() as new_agent,
            running_process(tmp_path, host_entry("a", server.address)) as limiter,
        ):
            log_path, valid_config = tmp_path / "log", json.loads(limiter.config_path.read_text())
            for invalid_text in ("{", "[]", json.dumps({**valid_config, "discovery": "nowhere"})):
                failure_count = log_path.read_text().count("configuration not reloaded")
                limiter.config_path.write_text(invalid_text)
                limiter.process.send_signal(signal.SIGHUP)
                await wait_until(
                    lambda failure_count=failure_count: (  # type: ignore[misc]
                        log_path.read_text().count("configuration not reloaded") > failure_count
                    )
                )
            for agent in (old_agent, new_agent):
                limiter.config_path.write_text(
                    json.dumps({**valid_config, "discovery": "{}:{}".format(*agent.address)})
                )
                limiter.process.send_signal(signal.SIGHUP)
                await agent.watch_queries.get()
            client = await limiter.connect()
            assert (await client.request(build_request("fix", "on"))).body == b"on"
            limiter.process.send_signal(signal.SIGTERM)
            assert await limiter.process.wait() == 0

    run(test())


VALID_CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "ff",
    "limits": {"sockets": 512},
    "settings": SETTINGS,
}


def test_load_applies_environment_file_and_defaults(tmp_path: Path) -> None:
    """Environment variables override the file, and entries missing from the file get defaults."""
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps(VALID_CONFIG))
    config = load({"GW_CONFIG": str(config_path), "GW_NAME": "n4", "GW_LISTEN": "[::1]:9001"})
    assert (config.name, config.listen, config.discovery) == ("n4", ("::1", 9001), ("127.0.0.1", 8500))
    assert (config.seed, config.sockets, config.connect_timeout_s, config.server_idle_timeout_s) == (
        255,
        512,
        0.25,
        30.0,
    )
    assert config.memory_limit_bytes == 192 << 20 and config.settings.max_retry_after_ms == 500.0
    small_memory_config = {**VALID_CONFIG, "limits": {"memory_mb": 32}}
    config_path.write_text(json.dumps(small_memory_config))
    assert load({"GW_CONFIG": str(config_path)}).memory_limit_bytes == 32 << 20
    assert config.settings.classes[2].name == "fix" and config.zones == ("hall-a", "hall-b")


@pytest.mark.parametrize(
    "invalid_entries",
    [
        {"listen": "nowhere"},
        {"listen": "127.0.0.1:http"},
        {"discovery": None},
        {"seed": "xyz"},
        {"limits": {"sockets": "many"}},
        {"limits": {"sockets": 0}},
        {"limits": []},
        {"settings": {}},
    ],
)
def test_load_rejects_invalid_entries(tmp_path: Path, invalid_entries: dict[str, Any]) -> None:
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps({**VALID_CONFIG, **invalid_entries}))
    with pytest.raises(ConfigError):
        load({"GW_CONFIG": str(config_path)})


def test_load_rejects_missing_variable_or_file(tmp_path: Path) -> None:
    for environ in ({}, {"GW_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(ConfigError):
            load(environ)
