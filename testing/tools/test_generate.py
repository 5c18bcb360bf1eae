"""The generated code and tables are those of the schema folder."""

from __future__ import annotations

import importlib.util
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent.parent


@pytest.fixture(scope="module")
def generate() -> ModuleType:
    spec = importlib.util.spec_from_file_location(
        "generate", ROOT / "tools" / "generate.py"
    )
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_generated_text_is_current(generate: ModuleType) -> None:
    for path, text in generate.outputs().items():
        assert path.read_text() == text, f"run python tools/generate.py: {path.name}"


def test_generated_messages_are_current(generate: ModuleType, tmp_path: Path) -> None:
    generate.generate_messages(tmp_path)
    for path in tmp_path.iterdir():
        committed = generate.GENERATED / path.name
        assert committed.read_text() == path.read_text()


def test_fault_matrix_page_is_current() -> None:
    path = ROOT / "tools" / "fault_matrix_page.py"
    spec = importlib.util.spec_from_file_location("fault_matrix_page", path)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    assert module.PAGE.read_text() == module.page()
