"""Generates code and tables from the files in schema/.

Run ``python tools/generate.py`` after a change of a schema and commit the result.
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
    "pairs": "tuple[tuple[str, str], ...]",
    "number": "float",
    "flag": "bool",
}


def render_settings_module(schema: dict[str, dict[str, dict[str, Any]]]) -> str:
    """Return the source of the module of settings classes and their fields."""
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
        lines += ["", "@attrs.frozen(kw_only=True)", f"class {_class_name(section)}:"]
        lines += [f'    """Section ``{section}``."""', ""]
        for name, field in fields.items():
            lines.append(f"    {name}: {PYTHON_TYPES[field['type']]}")
        lines.append("")
    lines += ["", "@attrs.frozen(kw_only=True)", "class Settings:"]
    lines += ['    """All settings, one attribute per section."""', ""]
    lines += [f"    {section}: {_class_name(section)}" for section in schema]
    lines += ["", "", "SECTIONS = {"]
    lines += [f'    "{section}": {_class_name(section)},' for section in schema]
    lines += ["}", "", "FIELDS = {"]
    for section, fields in schema.items():
        lines.append(f'    "{section}": (')
        lines += [
            f"        {_field_expression(name, f)}," for name, f in fields.items()
        ]
        lines.append("    ),")
    lines.append("}")
    return "\n".join(lines) + "\n"


def _class_name(section: str) -> str:
    return section.capitalize() + "Settings"


def _field_expression(name: str, field: dict[str, Any]) -> str:
    arguments = [f"name={name!r}", f"type={field['type']!r}"]
    for key in ("default", "min", "max"):
        if key in field:
            arguments.append(f"{key}={str(field[key])!r}")
    if "choices" in field:
        arguments.append(f"choices={tuple(field['choices'])!r}")
    if field.get("fallback"):
        arguments.append("has_fallback=True")
    return f"Field({', '.join(arguments)})"


def render_settings_page(schema: dict[str, dict[str, dict[str, Any]]]) -> str:
    """Return the page with the operators' table of settings."""
    lines = ["# Settings", "", NOTICE.format(source="schema/settings.yaml"), ""]
    lines += [
        "Settings without a default are required. An invalid value stops the start",
        "and names file, line, setting, value and what is allowed. Where the last",
        "column says `warned`, the instance starts all the same and warns in the same",
        "words: a number out of range is replaced by the nearest allowed one, a list",
        "of addresses by its valid ones, every other value (text, a negative number,",
        "NaN) by the default.",
        "",
        "| setting | type | default | range | meaning | invalid value |",
        "|---|---|---|---|---|---|",
    ]
    for section, fields in schema.items():
        for name, field in fields.items():
            if "choices" in field:
                allowed_values = ", ".join(field["choices"])
            else:
                allowed_values = (
                    f"{field['min']} to {field['max']}" if "min" in field else ""
                )
            default = field.get("default", "none")
            lines.append(
                f"| `{section}.{name}` | {field['type']} | `{default}` "
                f"| {allowed_values} | {field['doc']} "
                f"| {'warned' if field.get('fallback') else 'refused'} |"
            )
    return "\n".join(lines) + "\n"


def render_codes_module(codes: list[dict[str, Any]]) -> str:
    """Return the source of the module of result codes."""
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


def render_codes_page(codes: list[dict[str, Any]]) -> str:
    """Return the page with the table of result codes."""
    lines = ["# Result codes", "", NOTICE.format(source="schema/result_codes.yaml"), ""]
    lines += [
        "Every answer has its code in the header `X-Result-Code`; every refusal",
        "also has it in its body. If a call may be repeated, the answer says when, in",
        "`Retry-After` (seconds); the table has the minimum.",
        "",
        "| code | name | HTTP status | run | may repeat | retry after | meaning |",
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
    """Write the modules of the peer messages and calls to the directory `target`."""
    scripts_directory = Path(sys.executable).parent
    plugins = ("protoc-gen-mypy", "protoc-gen-grpclib_python")
    command = [
        sys.executable,
        "-m",
        "grpc_tools.protoc",
        *(f"--plugin={plugin}={scripts_directory / plugin}" for plugin in plugins),
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


def render_files() -> dict[Path, str]:
    """Return the text of each generated file, except the peer messages, by path."""
    settings = yaml.safe_load((ROOT / "schema/settings.yaml").read_text())
    codes = yaml.safe_load((ROOT / "schema/result_codes.yaml").read_text())
    return {
        GENERATED / "settings.py": render_settings_module(settings),
        GENERATED / "result_codes.py": render_codes_module(codes),
        DOCS / "operators" / "SETTINGS.md": render_settings_page(settings),
        DOCS / "RESULT-CODES.md": render_codes_page(codes),
    }


def main() -> None:
    """Write all generated files."""
    GENERATED.mkdir(exist_ok=True)
    for path, text in render_files().items():
        path.write_text(text)
    generate_messages(GENERATED)


if __name__ == "__main__":
    main()
