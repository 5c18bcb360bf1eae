"""The program ``chiveslip``: the command line for operators."""

from __future__ import annotations

from dataclasses import dataclass

import cappa

import chiveslip
from chiveslip.cli.configuration_commands import Check
from chiveslip.cli.configuration_commands import CheckSettings
from chiveslip.cli.configuration_commands import Diff
from chiveslip.cli.configuration_commands import Publish
from chiveslip.cli.configuration_commands import Render
from chiveslip.cli.explain_commands import Departures
from chiveslip.cli.explain_commands import Explain
from chiveslip.cli.explain_commands import GatewayStatus
from chiveslip.cli.explain_commands import Shortfall
from chiveslip.cli.fleet_commands import ShowAudit
from chiveslip.cli.fleet_commands import ShowStatus
from chiveslip.cli.fleet_commands import ShowTrace
from chiveslip.cli.fleet_commands import Wait
from chiveslip.cli.key_commands import MakeKey
from chiveslip.cli.key_commands import WithdrawKey


@cappa.command(name="chiveslip")
@dataclass
class Chiveslip:
    """Operate a fleet of chiveslip instances.

    Exit codes: 0 success, 1 invalid input, 2 wrong arguments, 3 an instance does not
    answer or nothing was found, 4 a revision is not active.
    """

    command: cappa.Subcommands[
        Check
        | CheckSettings
        | Departures
        | Diff
        | Explain
        | GatewayStatus
        | MakeKey
        | Publish
        | Render
        | Shortfall
        | ShowAudit
        | ShowStatus
        | ShowTrace
        | Wait
        | WithdrawKey
    ]


def main() -> None:
    """Run the command line with the arguments of this process."""
    cappa.invoke(Chiveslip, version=chiveslip.__version__)


if __name__ == "__main__":
    main()
