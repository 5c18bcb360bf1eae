"""Extrapolates the measured points to the two-year size and writes docs/CAPACITY.md.

Run ``python -m bench.capacity`` after ``python -m bench.capacity_points``.
"""

from __future__ import annotations

import json
import statistics
from pathlib import Path
from typing import Any

import attrs

POINTS = Path(__file__).parent / "capacity_points.json"
PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"

NODES = 1000
ENDPOINTS = 10_000
ACCELERATORS = 80_000
REQUESTS_PER_S = 76_000
TOKENS_PER_S = 37_000_000
ADAPTERS = 16_000
ORGANISATIONS = 10_000
DATA_CENTRES = 35
CHANGES_PER_DAY = 32_000
FAILURES_PER_DAY = 68
RESTARTS_PER_DAY = 3_600
DAY_S = 86_400
READERS_PER_DATA_CENTRE = 3
CONFIRM_INTERVAL_S = 0.5
WATCH_TIMEOUT_S = 10.0
AT_MOST_ONCE_SHARE = 0.01
RETENTION_S = 600
CREDIT_LIFETIME_S = 1.5
REPLICAS = 4
ACTIVE_ORGANISATIONS = 50
MAX_CORE_SHARE = 0.033
# Fleets of up to 7 gateways exchange gossip in a full mesh.
_FULL_MESH_MAX_INSTANCES = 7
MAX_MEMORY_BYTES = 32 * 1024 * 1024
MAX_BYTES_PER_S = 13 * 1024
READ_BUDGET_PER_S = 2000
RED_MARK = "**RED**"


@attrs.frozen(kw_only=True)
class RoleCost:
    """Cost of one role of a node.

    Attributes
    ----------
    messages
        Messages a second.
    bytes
        Bytes a second.
    core
        Share of a processor core, from 0 to 1.
    memory
        Memory in bytes.
    """

    name: str
    state: str
    mechanism: str
    messages: float
    bytes: float
    core: float
    memory: float


@attrs.frozen(kw_only=True)
class LinearFit:
    """A straight line fitted to measured points."""

    slope: float
    intercept: float

    def value_at(self, value: float) -> float:
        """Return the line's value, or 0 where it is negative."""
        return max(self.intercept + self.slope * value, 0.0)


def fit_line(points: list[dict[str, float]], x: str, y: str) -> LinearFit:
    """Return the least-squares line of `y` over `x`."""
    line = statistics.linear_regression([p[x] for p in points], [p[y] for p in points])
    return LinearFit(slope=line.slope, intercept=line.intercept)


def render_page(points: dict[str, Any]) -> str:
    """Return the page in Markdown."""
    roles = _estimate_role_costs(points)
    return "\n".join(
        [
            *_render_introduction(),
            *_render_measured_points(points),
            *_render_role_costs(roles),
            *_render_configuration_reads(points),
            *_render_gossip(points),
            *_render_forwarding(points),
            *_render_failures(points),
            *_render_not_measured(),
        ]
    )


def _estimate_role_costs(points: dict[str, Any]) -> list[RoleCost]:
    control = points["control_by_instances"]
    large_fleets = [p for p in control if p["instances"] > 12]
    core = fit_line(large_fleets, "instances", "cpu_s_per_s")
    return [
        RoleCost(
            name="every node: view and heartbeats",
            state="list of 1,000 instances, 8 heartbeat peers, views of 10 min",
            mechanism="heartbeats to these peers, propagation of newer lists",
            # Each instance has 8 heartbeat peers at most, so the messages of the
            # largest measured fleet hold for 1,000 instances.
            messages=control[-1]["messages_per_s"],
            bytes=control[-1]["bytes_per_s"] + _estimate_list_bytes_per_s(),
            # A line that falls with the size is noise; the largest measured fleet
            # gives the lower bound.
            core=max(core.value_at(NODES), control[-1]["cpu_s_per_s"]),
            memory=NODES * 1000 + ENDPOINTS * 1200,
        ),
        _estimate_configuration_cost(points),
        RoleCost(
            name="owner of allowances",
            state=f"{ORGANISATIONS // NODES} buckets",
            mechanism="credits of 1.5 s, requested ahead of demand",
            messages=_estimate_credit_messages_per_s(),
            bytes=_estimate_credit_messages_per_s() * points["credit"]["bytes"],
            core=_estimate_credit_messages_per_s() * points["credit"]["cpu_s"],
            memory=ORGANISATIONS / NODES * points["credit"]["memory_bytes"],
        ),
        RoleCost(
            name="owner of endpoints",
            state=f"{ENDPOINTS // NODES} engines: queue, slots, permits",
            mechanism="one permit per call, bytes go directly to the engine",
            messages=REQUESTS_PER_S / NODES * 2,
            bytes=REQUESTS_PER_S / NODES * points["permit"]["bytes"],
            core=REQUESTS_PER_S / NODES * points["permit"]["cpu_s"],
            memory=ENDPOINTS / NODES * 200_000,
        ),
        _estimate_record_cost(points),
    ]


def _estimate_list_bytes_per_s() -> float:
    changes = (FAILURES_PER_DAY * 2 + RESTARTS_PER_DAY * 2) / DAY_S
    return changes * NODES * 110


def _estimate_configuration_cost(points: dict[str, Any]) -> RoleCost:
    organisations = points["configuration_by_organisations"]
    adapters = points["configuration_by_adapters"]
    revisions_per_s = CHANGES_PER_DAY / DAY_S
    core = fit_line(organisations, "organisations", "cpu_s_per_revision").value_at(
        ORGANISATIONS
    ) + fit_line(adapters, "adapters", "cpu_s_per_revision").value_at(ADAPTERS)
    manifest = fit_line(organisations, "organisations", "manifest_bytes").value_at(
        ORGANISATIONS
    ) + fit_line(adapters, "adapters", "manifest_bytes").value_at(ADAPTERS)
    memory = fit_line(organisations, "organisations", "memory_bytes").value_at(
        ORGANISATIONS
    ) + fit_line(adapters, "adapters", "memory_bytes").value_at(ADAPTERS)
    published = organisations[-1]["published_bytes"] + adapters[-1]["published_bytes"]
    return RoleCost(
        name="every node: configuration",
        state=f"{ORGANISATIONS:,} organisations, {ADAPTERS:,} adapters, parts",
        mechanism="manifest, content-addressed parts, only changed parts reread",
        messages=revisions_per_s,
        bytes=revisions_per_s * (manifest + organisations[-1]["changed_bytes"]),
        core=revisions_per_s * core,
        memory=memory + published,
    )


def _estimate_credit_messages_per_s() -> float:
    """Return the largest number of credit messages a second at one owner."""
    organisations = ORGANISATIONS / NODES
    requesting_instances = min(NODES, ACTIVE_ORGANISATIONS * NODES / ORGANISATIONS)
    return organisations * requesting_instances / (CREDIT_LIFETIME_S / 2)


def _estimate_record_cost(points: dict[str, Any]) -> RoleCost:
    claims_per_s = REQUESTS_PER_S / NODES * AT_MOST_ONCE_SHARE * REPLICAS
    return RoleCost(
        name="replica of at-most-once records",
        state=f"{claims_per_s * RETENTION_S:,.0f} records of {RETENTION_S} s",
        mechanism=f"first claim wins at a majority of {REPLICAS} replicas, no lease",
        messages=claims_per_s * 2,
        bytes=claims_per_s * points["record"]["bytes"],
        core=claims_per_s * points["record"]["cpu_s"],
        memory=claims_per_s * RETENTION_S * points["record"]["memory_bytes"],
    )


def _render_introduction() -> list[str]:
    return [
        "# Capacity at the two-year size",
        "",
        "Computed by `python -m bench.capacity` from the points that",
        "`python -m bench.capacity_points` measured (bench/capacity_points.json).",
        "The points were measured on one machine with a fake transport; figures for",
        "1,000 nodes are extrapolated, nothing was run at that size.",
        "",
        f"Size: {NODES:,} nodes, {ENDPOINTS:,} replicas on {ACCELERATORS:,}",
        "accelerators,",
        f"{REQUESTS_PER_S:,} requests and {TOKENS_PER_S:,} tokens a second,",
        f"{ADAPTERS:,} adapters,",
        f"{DATA_CENTRES} data centres, {CHANGES_PER_DAY:,} changes a day,",
        f"{FAILURES_PER_DAY} failures and {RESTARTS_PER_DAY:,} restarts a day.",
        f"Assumed: {ORGANISATIONS:,} organisations, of which each node serves",
        f"{ACTIVE_ORGANISATIONS} at a time; "
        f"{AT_MOST_ONCE_SHARE:.0%} of calls are at-most-once.",
        "Limits for control on a node: 3.3% of a core, 32 MB, 13 KB a second.",
        "",
    ]


def _render_measured_points(points: dict[str, Any]) -> list[str]:
    lines = ["## Measured points", "", "Cost of control on an idle instance:", ""]
    lines += [
        "| instances | core | messages/s | bytes/s | platform reads/s (all instances) |"
    ]
    lines += ["|---|---|---|---|---|"]
    for p in points["control_by_instances"]:
        lines.append(
            f"| {p['instances']:.0f} | {p['cpu_s_per_s']:.2%} "
            f"| {p['messages_per_s']:.1f} | {p['bytes_per_s']:.0f} "
            f"| {p['reads_per_s']:.0f} |"
        )
    lines += ["", "A revision that changes one organisation:", ""]
    lines += [
        "| organisations | adapters | processor time | manifest | changed parts |"
    ]
    lines += ["|---|---|---|---|---|"]
    by_organisations = points["configuration_by_organisations"]
    for p in by_organisations + points["configuration_by_adapters"]:
        lines.append(
            f"| {p['organisations']:.0f} | {p['adapters']:.0f} "
            f"| {p['cpu_s_per_revision'] * 1000:.1f} ms "
            f"| {p['manifest_bytes'] / 1024:.1f} KB "
            f"| {p['changed_bytes'] / 1024:.1f} KB |"
        )
    lines += [
        "",
        "| exchange | processor time at the deciding instance | bytes | memory |",
    ]
    lines += ["|---|---|---|---|"]
    for name in ("credit", "permit", "record"):
        p = points[name]
        memory = f"{p['memory_bytes']:.0f} B" if "memory_bytes" in p else "not measured"
        lines.append(
            f"| {name} | {p['cpu_s'] * 1e6:.0f} us | {p['bytes']:.0f} | {memory} |"
        )
    return [*lines, ""]


def _render_gossip(points: dict[str, Any]) -> list[str]:
    measured = points["gossip_by_instances"]
    lines = ["## Gateways without a published list", ""]
    lines += [
        "Gossip of one gateway, measured by `bench.large_fleet` (16 organisations,",
        "eight engines in use, no sockets):",
        "",
        "| instances | exchanges/s | bytes/s sent | core |",
        "|---|---|---|---|",
    ]
    for p in measured:
        lines.append(
            f"| {p['instances']:.0f} | {p['exchanges_per_s']:.1f} "
            f"| {p['bytes_per_s'] / 1024:.1f} KB | {p['cpu_s_per_s']:.2%} |"
        )
    relayed_points = [p for p in measured if p["instances"] > _FULL_MESH_MAX_INSTANCES]
    sent = fit_line(relayed_points, "instances", "bytes_per_s").value_at(NODES)
    core = fit_line(relayed_points, "instances", "cpu_s_per_s").value_at(NODES)
    return [
        *lines,
        f"| {NODES:,} (linear fit) | {measured[-1]['exchanges_per_s']:.1f} "
        f"| {sent / 1024:.1f} KB{_mark(sent, MAX_BYTES_PER_S)} "
        f"| {core:.2%}{_mark(core, MAX_CORE_SHARE)} |",
        "",
        "Exchanges do not grow in number with the fleet; bytes and processor time do,",
        "by one report per instance a second. Reports have to be aggregated by data",
        "centre, so that an instance receives 35 sums and its neighbours' reports, not",
        "a thousand. Up to seven instances gossip in a full mesh every 250 ms: this",
        "costs more than relaying, but every update reaches all in one interval.",
        "",
    ]


def _render_role_costs(roles: list[RoleCost]) -> list[str]:
    lines = ["## Cost of control on one node, by role", ""]
    lines += ["| role | state | mechanism | messages/s | bytes/s | core | memory |"]
    lines += ["|---|---|---|---|---|---|---|"]
    total = RoleCost(
        name="total",
        state="",
        mechanism="",
        messages=sum(role.messages for role in roles),
        bytes=sum(role.bytes for role in roles),
        core=sum(role.core for role in roles),
        memory=sum(role.memory for role in roles),
    )
    for role in [*roles, total]:
        lines.append(
            f"| {role.name} | {role.state} | {role.mechanism} | {role.messages:.1f} "
            f"| {role.bytes / 1024:.1f} KB{_mark(role.bytes, MAX_BYTES_PER_S)} "
            f"| {role.core:.2%}{_mark(role.core, MAX_CORE_SHARE)} "
            f"| {role.memory / 1024**2:.1f} MB{_mark(role.memory, MAX_MEMORY_BYTES)} |"
        )
    lines += [
        "",
        "Processor time of credits, permits and records covers the decision only, not",
        "gRPC (which was not measured separately). Memory of the view and of engine",
        "owners is calculated from field sizes, not measured.",
        "",
        "What must change where a figure is marked red:",
        "",
        "- processor time of heartbeats: the line is fitted to runs with all instances",
        "  in one process, whose timers grow with their number, and it varies by run;",
        "  measure instances in separate processes before changing a mechanism;",
        "- configuration bytes: the manifest names every part; it has to become a",
        "  tree of two levels, so that a change transfers only one branch;",
        "- permit bytes: one message each way for every call; a permit has to cover",
        "  several calls of one adapter;",
        "- credit bytes: one request for each organisation; requests to the same owner",
        "  have to be batched, and idle credits need a longer lifetime.",
        "",
    ]
    return lines


def _mark(value: float, bound: float) -> str:
    return f" {RED_MARK}" if value > bound else ""


def _render_configuration_reads(points: dict[str, Any]) -> list[str]:
    readers = DATA_CENTRES * READERS_PER_DATA_CENTRE
    watches = readers * (1 / CONFIRM_INTERVAL_S + 2 / WATCH_TIMEOUT_S)
    changes = CHANGES_PER_DAY / DAY_S * readers * 2
    total = watches + changes
    return [
        "## Reads of the configuration service",
        "",
        f"{READERS_PER_DATA_CENTRE} instances of each data centre read: {readers}",
        f"readers. Watches {watches:.0f}/s (each pending one counts),",
        f"changes {changes:.0f}/s, in total {total:.0f}/s of about",
        f"{READ_BUDGET_PER_S:,}/s{_mark(total, READ_BUDGET_PER_S)}.",
        "",
        "A change reaches the readers through their watch, and the other nodes through",
        "their next heartbeat to a reader of their data centre "
        f"(every {CONFIRM_INTERVAL_S} s)",
        "and one pull: two intervals and three round trips, under 2 s of the 5 s.",
        "Without the service, heartbeat peers pass lists and revisions to each other;",
        "the number of rounds at 1,000 nodes is not measured.",
        "",
    ]


def _render_forwarding(points: dict[str, Any]) -> list[str]:
    calls = points["calls"]
    requests = REQUESTS_PER_S / NODES
    tokens = TOKENS_PER_S / NODES
    cores = requests * calls["completion_cpu_s"] + tokens * calls["token_cpu_s"]
    return [
        "## Cost of forwarding calls (not control)",
        "",
        f"A completion costs {calls['completion_cpu_s'] * 1000:.2f} ms and a token",
        f"{calls['token_cpu_s'] * 1e6:.0f} us of an instance's processor time,",
        "measured over real sockets. At "
        f"{requests:.0f} requests and {tokens:,.0f} tokens a second",
        f"a node needs {cores:.1f} cores: one process uses one, so a node has to run",
        "several processes, or this figure has to fall. A first token within",
        "1.9 s and 78 ms between tokens are not measured at this load.",
        "",
    ]


def _render_failures(points: dict[str, Any]) -> list[str]:
    per_centre = NODES / DATA_CENTRES
    owned = (ENDPOINTS + ORGANISATIONS) / NODES
    return [
        "## Large failures",
        "",
        "Loss of a data centre: "
        f"{per_centre:.0f} nodes that own {per_centre * owned:.0f} endpoints and",
        "allowances fail, and the list drops them. Each remaining node gets one new",
        f"list ({NODES * 110 / 1024:.0f} KB) and becomes the owner of",
        f"{per_centre * owned / (NODES - per_centre):.1f} endpoints or allowances",
        "after the hold-off of 4 s. No message is sent: the list gives the new owner.",
        "",
        "Partition of two regions for minutes: while the service answers, the view",
        "stays and each owner stays unique. A node that has most of its 8 heartbeat",
        "peers on the other side, and is not itself a reader, fences itself in 2 s;",
        "with peers spread evenly over two halves, this is about a third of the nodes.",
        "As owners they decide nothing until the partition heals: this is too many,",
        "and peers have to be chosen within the region. Messages do not rise: each",
        "node sends 8 heartbeats, which time out instead of being answered.",
        "",
    ]


def _render_not_measured() -> list[str]:
    return [
        "## Not measured",
        "",
        "- any run of 1,000 nodes at once, or over real networks;",
        "- memory of a whole instance by its number of calls;",
        "- rounds until a list has reached 1,000 nodes without the service;",
        "- view changes of many instances at once, such as the loss of a rack;",
        "- load on the weight store when 10% of the adapters become active in an hour.",
        "",
    ]


def main() -> None:
    """Write the page to docs/CAPACITY.md."""
    PAGE.write_text(render_page(json.loads(POINTS.read_text())))


if __name__ == "__main__":
    main()
