"""Late client retries: the limiter infers a request's age from the time that its client still waits."""

from __future__ import annotations

from sockets import (
    SETTINGS,
    Client,
    ReceivedRequest,
    backend,
    build_request,
    host_entry,
    run,
    running_limiter,
)

LONG_DEADLINE_CLASS = {**SETTINGS["services"][0], "aimMs": 60_000.0, "hardLimitMs": 100_000.0}
SCARCE_QUOTA_SETTINGS = {
    "services": [LONG_DEADLINE_CLASS],
    "contracts": [{"name": "basic", "rate": 0.01, "mostAtOnce": 4.0}],
}
FIRST_REQUEST_WAIT_S = "90"  # how long most clients wait for an answer to a first request
LATE_RETRY_WAIT_S = "35"  # 65 s of the class's deadline of 100 s have passed, and so has its aim of 60 s
TIMELY_RETRY_WAIT_S = "75"
SINGLE_GATEWAY_TERMS = "units=1,spread=1,first=0"


async def reply_at_once(request: ReceivedRequest) -> None:
    request.reply(body=b"x")


async def request_status_code(client: Client, request_id: str, customer_id: int, wait_s: str) -> int:
    """Send a request of one unit whose client waits for `wait_s`, and return the response's status code."""
    raw = build_request(
        request_id=request_id,
        X_Api_Key=f"{customer_id:016x}",
        Req_Deadline=wait_s,
        X_Call_Terms=SINGLE_GATEWAY_TERMS,
    )
    return (await client.request(raw)).status_code


def test_late_client_retry_is_refused_unless_the_bucket_has_ample_units() -> None:
    """An answer to the retry would be worth nothing, and its units would be missing for a first request."""

    async def test() -> None:
        async with backend(reply_at_once) as server:
            async with running_limiter(
                host_entry("a", server.address), settings=SCARCE_QUOTA_SETTINGS
            ) as fixture:
                client = await fixture.connect()
                for n in range(12):  # two clients wait for longer than the others
                    assert (
                        await request_status_code(
                            client, f"other-{n}", 100 + n, "99" if n % 6 == 0 else FIRST_REQUEST_WAIT_S
                        )
                        == 200
                    )
                assert [
                    await request_status_code(client, f"first-{n}", 1, FIRST_REQUEST_WAIT_S) for n in range(2)
                ] == [200, 200]
                assert await request_status_code(client, "late", 1, LATE_RETRY_WAIT_S) == 429
                assert await request_status_code(client, "in-time", 1, TIMELY_RETRY_WAIT_S) == 200
                assert "late" not in [request.headers["req-id"] for request in server.requests]
                # The bucket of customer 2 is full.
                assert await request_status_code(client, "plenty", 2, LATE_RETRY_WAIT_S) == 200

    run(test())


def test_short_wait_is_no_sign_of_a_retry_if_first_requests_have_it_too() -> None:
    """This holds even if as many other requests wait for longer.

    A client's last retry waits for longer, because no other retry follows it.
    """

    async def test() -> None:
        async with backend(reply_at_once) as server:
            async with running_limiter(
                host_entry("a", server.address), settings=SCARCE_QUOTA_SETTINGS
            ) as fixture:
                client = await fixture.connect()
                for n in range(12):
                    assert (
                        await request_status_code(
                            client, f"other-{n}", 100 + n, "99" if n % 2 else LATE_RETRY_WAIT_S
                        )
                        == 200
                    )
                assert [
                    await request_status_code(client, f"first-{n}", 1, LATE_RETRY_WAIT_S) for n in range(3)
                ] == [200] * 3

    run(test())
