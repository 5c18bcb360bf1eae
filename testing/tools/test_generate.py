"""Generated code and pages match the files from which they are generated."""

from __future__ import annotations

import importlib.util
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent.parent


@pytest.fixture(scope="module")
def generator() -> ModuleType:
    spec = importlib.util.spec_from_file_location(
        "generate", ROOT / "tools" / "generate.py"
    )
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_generated_text_is_current(generator: ModuleType) -> None:
    for path, text in generator.render_files().items():
        assert path.read_text() == text, (
            f"{path.name} is outdated; run python tools/generate.py"
        )


def test_generated_messages_are_current(generator: ModuleType, tmp_path: Path) -> None:
    generator.generate_messages(tmp_path)
    for path in tmp_path.iterdir():
        committed = generator.GENERATED / path.name
        assert committed.read_text() == path.read_text()


def test_fault_matrix_page_is_current() -> None:
    path = ROOT / "tools" / "fault_matrix_page.py"
    spec = importlib.util.spec_from_file_location("fault_matrix_page", path)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    assert module.PAGE_PATH.read_text() == module.render_page()
