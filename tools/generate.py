"""Generate code and tables from the schema folder.

Run ``python tools/generate.py`` after a change of a schema, and commit the result.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import yaml

ROOT = Path(__file__).resolve().parent.parent
GENERATED = ROOT / "src" / "chiveslip" / "generated"
DOCS = ROOT / "docs"
NOTICE = "Generated from {source} by tools/generate.py; do not edit."
PYTHON_TYPES = {
    "name": "str",
    "address": "Address",
    "path": "str",
    "choice": "str",
    "duration": "float",
    "size": "int",
    "count": "int",
    "percent": "float",
    "addresses": "tuple[Address, ...]",
    "fraction": "float",
    "flag": "bool",
}


def settings_module(schema: dict[str, dict[str, dict[str, Any]]]) -> str:
    """Return the module of settings classes and their field table."""
    notice = NOTICE.format(source="schema/settings.yaml")
    lines = [
        f'"""Settings of the daemon. {notice}"""',
        "from __future__ import annotations",
        "",
        "import attrs",
        "",
        "from chiveslip.settings.fields import Address",
        "from chiveslip.settings.fields import Field",
        "",
    ]
    for section, fields in schema.items():
        lines += ["", "@attrs.frozen(kw_only=True)", f"class {_class(section)}:"]
        lines += [f'    """Section ``{section}``."""', ""]
        for name, field in fields.items():
            lines.append(f"    {name}: {PYTHON_TYPES[field['type']]}")
        lines.append("")
    lines += ["", "@attrs.frozen(kw_only=True)", "class Settings:"]
    lines += ['    """All settings, one attribute per section."""', ""]
    lines += [f"    {section}: {_class(section)}" for section in schema]
    lines += ["", "", "SECTIONS = {"]
    lines += [f'    "{section}": {_class(section)},' for section in schema]
    lines += ["}", "", "FIELDS = {"]
    for section, fields in schema.items():
        lines.append(f'    "{section}": (')
        lines += [f"        {_field(name, f)}," for name, f in fields.items()]
        lines.append("    ),")
    lines.append("}")
    return "\n".join(lines) + "\n"


def _class(section: str) -> str:
    return section.capitalize() + "Settings"


def _field(name: str, field: dict[str, Any]) -> str:
    words = [f"name={name!r}", f"type={field['type']!r}"]
    for key in ("default", "min", "max"):
        if key in field:
            words.append(f"{key}={str(field[key])!r}")
    if "choices" in field:
        words.append(f"choices={tuple(field['choices'])!r}")
    return f"Field({', '.join(words)})"


def settings_page(schema: dict[str, dict[str, dict[str, Any]]]) -> str:
    """Return the operators' table of settings."""
    lines = ["# Settings", "", NOTICE.format(source="schema/settings.yaml"), ""]
    lines += ["A setting without a default must be given.", ""]
    lines += ["| setting | type | default | range | meaning |", "|---|---|---|---|---|"]
    for section, fields in schema.items():
        for name, field in fields.items():
            if "choices" in field:
                span = ", ".join(field["choices"])
            else:
                span = f"{field['min']} to {field['max']}" if "min" in field else ""
            default = field.get("default", "none")
            lines.append(
                f"| `{section}.{name}` | {field['type']} | `{default}` "
                f"| {span} | {field['doc']} |"
            )
    return "\n".join(lines) + "\n"


def codes_module(codes: list[dict[str, Any]]) -> str:
    """Return the module of result codes."""
    notice = NOTICE.format(source="schema/result_codes.yaml")
    lines = [
        f'"""Result codes. {notice}"""',
        "from __future__ import annotations",
        "",
        "from chiveslip.results import ResultCode",
        "from chiveslip.results import Run",
        "",
    ]
    for code in codes:
        run = code["run"].replace(" ", "_").upper()
        lines += [
            f"{code['name'].upper()} = ResultCode(",
            f"    code={code['code']},",
            f"    name={code['name']!r},",
            f"    status={code['status']},",
            f"    run=Run.{run},",
            f"    may_repeat={bool(code['repeat'])},",
            f"    retry_after_s={code.get('retry_after')},",
            f"    meaning={code['doc']!r},",
            ")",
        ]
    lines += ["", "ALL = ("]
    lines += [f"    {code['name'].upper()}," for code in codes]
    lines += [")", "", "BY_CODE = {code.code: code for code in ALL}"]
    return "\n".join(lines) + "\n"


def codes_page(codes: list[dict[str, Any]]) -> str:
    """Return the table of result codes."""
    lines = ["# Result codes", "", NOTICE.format(source="schema/result_codes.yaml"), ""]
    lines += [
        "Every answer carries its code in the header `X-Result-Code`; every refusal",
        "carries it in its body too. Codes that may be repeated say when to come back",
        "in `Retry-After` (seconds); the table has the least value.",
        "",
        "| code | name | HTTP status | run | may repeat | come back after | meaning |",
        "|---|---|---|---|---|---|---|",
    ]
    for code in codes:
        after = f"{code['retry_after']} s" if "retry_after" in code else ""
        repeat = "yes" if code["repeat"] else "no"
        lines.append(
            f"| {code['code']} | {code['name']} | {code['status']} | {code['run']} "
            f"| {repeat} | {after} | {code['doc']} |"
        )
    return "\n".join(lines) + "\n"


def generate_messages(target: Path) -> None:
    """Write the peer messages and stubs into `target`."""
    scripts = Path(sys.executable).parent
    plugins = ("protoc-gen-mypy", "protoc-gen-grpclib_python")
    command = [
        sys.executable,
        "-m",
        "grpc_tools.protoc",
        *(f"--plugin={plugin}={scripts / plugin}" for plugin in plugins),
        f"-I{ROOT / 'schema'}",
        f"--python_out={target}",
        f"--mypy_out={target}",
        f"--grpclib_python_out={target}",
        "peer.proto",
    ]
    subprocess.run(command, check=True)
    stub = target / "peer_grpc.py"
    text = stub.read_text().replace(
        "import peer_pb2", "from chiveslip.generated import peer_pb2"
    )
    stub.write_text(text)


def outputs() -> dict[Path, str]:
    """Return every generated text file but the messages, by its path."""
    settings = yaml.safe_load((ROOT / "schema/settings.yaml").read_text())
    codes = yaml.safe_load((ROOT / "schema/result_codes.yaml").read_text())
    return {
        GENERATED / "settings.py": settings_module(settings),
        GENERATED / "result_codes.py": codes_module(codes),
        DOCS / "operators" / "SETTINGS.md": settings_page(settings),
        DOCS / "RESULT-CODES.md": codes_page(codes),
    }


def main() -> None:
    """Write all generated files."""
    GENERATED.mkdir(exist_ok=True)
    for path, text in outputs().items():
        path.write_text(text)
    generate_messages(GENERATED)


if __name__ == "__main__":
    main()
