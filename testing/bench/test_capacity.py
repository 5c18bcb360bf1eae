"""The capacity page is what its program works out of the measured points."""

from __future__ import annotations

import json

from bench import capacity


def test_page_is_current() -> None:
    points = json.loads(capacity.POINTS.read_text())
    assert capacity.PAGE.read_text() == capacity.page(points)


def test_line_goes_through_its_points() -> None:
    points = [{"x": 1.0, "y": 3.0}, {"x": 2.0, "y": 5.0}]
    assert capacity.fit(points, "x", "y").at(10) == 21.0
