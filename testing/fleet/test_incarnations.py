"""Starts of endpoints in messages to other gateways."""

from __future__ import annotations

import pytest

from chiveslip.fleet.incarnations import decode_incarnations
from chiveslip.fleet.incarnations import encode_incarnation
from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.generated import peer_pb2 as wire
from chiveslip.settings.fields import Address

INCARNATION = Incarnation("i-7f", 1717, Address("10.128.0.9", 8080))


def test_encoded_start_of_an_endpoint_is_read_again() -> None:
    message = encode_incarnation(INCARNATION)
    assert decode_incarnations([message], source="peer") == [INCARNATION]


@pytest.mark.parametrize("address", ["", "nowhere", "10.0.0.1", "10.0.0.1:99999"])
def test_unreadable_address_costs_that_statement_only(address: str) -> None:
    unreadable = wire.LeavingEndpoint(endpoint="i-8", started=1, address=address)
    messages = [unreadable, encode_incarnation(INCARNATION)]
    assert decode_incarnations(messages, source="peer") == [INCARNATION]
