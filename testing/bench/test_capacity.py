"""The committed capacity page matches the page rendered from the measured points."""

from __future__ import annotations

import json

from bench import capacity


def test_page_matches_measured_points() -> None:
    points = json.loads(capacity.POINTS.read_text())
    assert capacity.PAGE.read_text() == capacity.render_page(points)


def test_fitted_line_extrapolates_its_points() -> None:
    points = [{"x": 1.0, "y": 3.0}, {"x": 2.0, "y": 5.0}]
    assert capacity.fit_line(points, "x", "y").value_at(10) == 21.0
