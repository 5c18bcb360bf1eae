"""Starts of endpoints in messages to other gateways."""

from __future__ import annotations

from collections.abc import Iterable

from chiveslip import logs
from chiveslip.gateway.cold_endpoints import ColdTime
from chiveslip.gateway.endpoint_limits import NamedLimit
from chiveslip.gateway.endpoint_limits import make_limit
from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.generated import peer_pb2 as wire
from chiveslip.settings.fields import parse_address


def encode_incarnation(incarnation: Incarnation) -> wire.LeavingEndpoint:
    """Return the message for an endpoint that leaves."""
    return wire.LeavingEndpoint(
        endpoint=incarnation.endpoint,
        started=incarnation.started,
        address=str(incarnation.address),
    )


def decode_incarnations(
    messages: Iterable[wire.LeavingEndpoint], *, source: str
) -> list[Incarnation]:
    """Return the starts of endpoints that leave, without those that are unreadable.

    Parameters
    ----------
    source
        From whom the messages came, for the log.
    """
    decoded = (_decode_incarnation(message, source) for message in messages)
    return [incarnation for incarnation in decoded if incarnation is not None]


def encode_limit(limit: NamedLimit, now: float) -> wire.EndpointLimit:
    """Return the message for a limit that an endpoint named."""
    return wire.EndpointLimit(
        endpoint=encode_incarnation(limit.incarnation),
        requests_per_second=limit.requests_per_s,
        age_seconds=max(now - limit.said_at, 0.0),
        cold_seconds=max(limit.cold_until - now, 0.0),
    )


def decode_limit(
    message: wire.EndpointLimit, now: float, *, source: str
) -> NamedLimit | None:
    """Return a limit that an endpoint named, or None if it is unreadable.

    Parameters
    ----------
    source
        From whom the message came, for the log.
    """
    incarnation = _decode_incarnation(message.endpoint, source)
    if incarnation is None:
        return None
    return make_limit(
        incarnation,
        message.requests_per_second,
        message.age_seconds,
        now,
        message.cold_seconds,
    )


def encode_cold(time: ColdTime, now: float) -> wire.ColdEndpoint:
    """Return the message for an endpoint that is cold."""
    return wire.ColdEndpoint(
        endpoint=encode_incarnation(time.incarnation),
        remaining_seconds=max(time.until - now, 0.0),
    )


def decode_cold(
    message: wire.ColdEndpoint, *, source: str
) -> tuple[Incarnation, float] | None:
    """Return an endpoint and for how many seconds it is cold; None if unreadable.

    Parameters
    ----------
    source
        From whom the message came, for the log.
    """
    incarnation = _decode_incarnation(message.endpoint, source)
    return None if incarnation is None else (incarnation, message.remaining_seconds)


def _decode_incarnation(
    message: wire.LeavingEndpoint, source: str
) -> Incarnation | None:
    try:
        address = parse_address(message.address)
    except ValueError as error:
        logs.get_logger("endpoints").warning(
            "Address of an endpoint is invalid.",
            source=source,
            endpoint=message.endpoint,
            cause=str(error),
        )
        return None
    return Incarnation(message.endpoint, message.started, address)
