"""Tests of the part of a customer's quota that is reserved for requests of more worth, over loopback."""

from __future__ import annotations

from sockets import SETTINGS, ReceivedRequest, backend, build_request, host_entry, run, running_limiter

READ_CLASS, UPLOAD_CLASS, FIX_CLASS = SETTINGS["services"]


def scarce_quota_settings(read_points: float) -> dict[str, object]:
    """Return settings with hardly any rate and a burst of 10 units.

    A read is worth `read_points`, an upload 3 and a fix 5.
    """
    services = [
        {**READ_CLASS, "points": read_points},
        {**UPLOAD_CLASS, "points": 3.0},
        {**FIX_CLASS, "points": 5.0},
    ]
    return {"services": services, "contracts": [{"name": "basic", "rate": 0.01, "mostAtOnce": 10.0}]}


async def request_status_codes(read_points: float) -> list[int]:
    """Return the status codes of five fixes, a read and a fix of one customer that is far beyond its rate."""

    async def serve(request: ReceivedRequest) -> None:
        request.reply(body=b"x")

    async with backend(serve) as server:
        async with running_limiter(
            host_entry("a", server.address), settings=scarce_quota_settings(read_points)
        ) as fixture:
            client, status_codes = await fixture.connect(), []
            for index, class_name in enumerate(["fix", "fix", "fix", "fix", "fix", "read", "fix"]):
                raw_request = build_request(
                    class_name, f"id-{index}", X_Call_Terms="units=1,spread=1,first=0"
                )
                status_codes.append((await client.request(raw_request)).status_code)
            return status_codes


def test_scarce_units_are_reserved_for_requests_of_the_highest_worth() -> None:
    async def test() -> None:
        assert await request_status_codes(3.0) == [200, 200, 200, 200, 200, 429, 200]

    run(test())


def test_nothing_is_reserved_between_classes_of_equal_worth() -> None:
    async def test() -> None:
        assert await request_status_codes(5.0) == [200] * 7

    run(test())
