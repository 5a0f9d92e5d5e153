"""The program papayatackctl: flags, output and exit status."""

import asyncio
import json
import os
import sys
from collections.abc import Sequence
from typing import TextIO

from absl import flags

from papayatack.ctl.commands import COMMANDS
from papayatack.ctl.exits import CommandError, ExitStatus
from papayatack.ctl.invocation import Command, Invocation, Output
from papayatack.ctl.session import Session

__all__ = ["main", "run"]

NODE_VARIABLE = "PAPAYATACK_NODE"
DEFAULT_TIMEOUT_S = 30.0


def main() -> None:
    """Run the command that the process was started with."""
    sys.exit(run(sys.argv, stdout=sys.stdout, stderr=sys.stderr))


def run(argv: Sequence[str], *, stdout: TextIO, stderr: TextIO) -> int:
    """Run one command and return the exit status."""
    values = _define_flags()
    try:
        words = values(list(argv))[1:]
    except flags.Error as error:
        _print_error(stderr, str(error), ())
        return ExitStatus.USAGE
    if values.help or not words:
        print(_format_usage(values), file=stdout if values.help else stderr)
        return ExitStatus.DONE if values.help else ExitStatus.USAGE
    try:
        output = asyncio.run(_run_command(words, values, stderr))
    except CommandError as error:
        _report_error(error, as_json=values.json, stdout=stdout, stderr=stderr)
        return error.status
    except KeyboardInterrupt:
        _print_error(stderr, "interrupted", ())
        return ExitStatus.UNKNOWN
    _print_output(output, as_json=values.json, stdout=stdout)
    return output.status


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    flags.DEFINE_multi_string(
        "node",
        None,
        "Operators' address of a node, IP:PORT; may be repeated, and others are tried"
        f" if the first is away. Default: ${NODE_VARIABLE}, separated by commas.",
        flag_values=values,
    )
    flags.DEFINE_bool("json", False, "Print JSON.", flag_values=values)
    flags.DEFINE_float(
        "timeout",
        DEFAULT_TIMEOUT_S,
        "Seconds after which to give up.",
        lower_bound=0.1,
        upper_bound=86_400,
        flag_values=values,
    )
    flags.DEFINE_integer(
        "base",
        None,
        "Version that the published documents were made from.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "record_id",
        None,
        "Id of an earlier publication of unknown outcome, to learn it.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "out", None, "Directory to write the documents to.", flag_values=values
    )
    flags.DEFINE_bool(
        "help", False, "Show this help.", short_name="h", flag_values=values
    )
    return values


async def _run_command(
    words: Sequence[str], values: flags.FlagValues, stderr: TextIO
) -> Output:
    command = _find_command(words)
    invocation = Invocation(
        session=Session(nodes=_list_nodes(values), timeout_s=values.timeout),
        arguments=tuple(words[1:]),
        base_version=values.base,
        record_id=values.record_id,
        directory=values.out,
        print_progress=lambda line: print(line, file=stderr),
    )
    return await command.run(invocation)


def _find_command(words: Sequence[str]) -> Command:
    name, *arguments = words
    command = COMMANDS.get(name)
    if command is None:
        raise CommandError(
            f"{name!r} is not a command; use one of {', '.join(COMMANDS)}",
            status=ExitStatus.USAGE,
        )
    if not command.least <= len(arguments) <= command.most:
        raise CommandError(
            f"usage: papayatackctl {name} {command.usage}", status=ExitStatus.USAGE
        )
    return command


def _list_nodes(values: flags.FlagValues) -> tuple[str, ...]:
    if values.node:
        return tuple(values.node)
    named = os.environ.get(NODE_VARIABLE, "")
    return tuple(address for address in named.split(",") if address)


def _print_output(output: Output, *, as_json: bool, stdout: TextIO) -> None:
    text = json.dumps(output.document) if as_json else output.text
    print(text, file=stdout)


def _report_error(
    error: CommandError, *, as_json: bool, stdout: TextIO, stderr: TextIO
) -> None:
    if as_json:
        document = {
            "error": str(error),
            "details": list(error.details),
            "status": int(error.status),
        }
        print(json.dumps(document), file=stdout)
    else:
        _print_error(stderr, str(error), error.details)


def _print_error(stderr: TextIO, message: str, details: Sequence[str]) -> None:
    print(f"papayatackctl: {message}", file=stderr)
    for detail in details:
        print(f"  {detail}", file=stderr)


def _format_usage(values: flags.FlagValues) -> str:
    width = max(len(f"{name} {c.usage}") for name, c in COMMANDS.items())
    lines = ["usage: papayatackctl [flags] COMMAND [ARGUMENTS]", ""]
    for name, command in COMMANDS.items():
        lines.append(f"  {f'{name} {command.usage}':{width}}  {command.summary}")
    return "\n".join([*lines, "", "flags:", values.main_module_help()])


if __name__ == "__main__":
    main()
