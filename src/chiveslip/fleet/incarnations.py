"""Starts of endpoints in messages to other gateways."""

from __future__ import annotations

from collections.abc import Iterable

from chiveslip import logs
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
    incarnations = []
    for message in messages:
        try:
            address = parse_address(message.address)
        except ValueError as error:
            logs.get_logger("endpoints").warning(
                "Address of a leaving endpoint is invalid.",
                source=source,
                endpoint=message.endpoint,
                cause=str(error),
            )
            continue
        incarnations.append(Incarnation(message.endpoint, message.started, address))
    return incarnations
