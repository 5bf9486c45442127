"""``snipetrestle check``: validates settings and published configuration."""

import pathlib
from dataclasses import dataclass
from typing import Annotated

import cappa

from snipetrestle.checking import InvalidDocument
from snipetrestle.cli.output import ExitCode, print_json
from snipetrestle.codes import ResultCode
from snipetrestle.published import PublishedConfiguration
from snipetrestle.settings import Settings


@cappa.command(
    name="check",
    help="Check settings and published configuration; every error is listed at once.",
)
@dataclass
class Check:
    """Lists all errors of the files. Exits with 0 if there are none, else with 3."""

    settings: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Settings of one daemon.")
    ] = None
    published: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Published configuration.")
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self):
        if self.settings is None and self.published is None:
            raise cappa.Exit("give --settings or --published", code=ExitCode.USAGE)
        problems = []
        problems += _problems_of(
            self.settings, Settings.from_text, ResultCode.INVALID_SETTINGS
        )
        problems += _problems_of(
            self.published,
            PublishedConfiguration.parse,
            ResultCode.INVALID_CONFIGURATION,
        )
        if self.json:
            print_json({"valid": not problems, "problems": problems})
        else:
            for problem in problems:
                print(
                    f"{problem['code']} {problem['file']}: {problem['path'] or '-'}: "
                    f"{problem['value']}: {problem['rule']}"
                )
            print(f"{len(problems)} problems" if problems else "valid")
        raise cappa.Exit(code=ExitCode.INVALID_INPUT if problems else ExitCode.OK)


def _problems_of(path, parse, code):
    """Returns the problems that ``parse(text)`` finds in a file, as mappings."""
    if path is None:
        return []
    try:
        parse(path.read_text())
    except InvalidDocument as error:
        return [
            {
                "code": str(code),
                "file": str(path),
                "path": problem.path,
                "value": problem.value,
                "rule": problem.rule,
            }
            for problem in error.problems
        ]
    except (OSError, UnicodeDecodeError) as error:
        return [
            {
                "code": str(code),
                "file": str(path),
                "path": "",
                "value": "",
                "rule": f"must be a readable text file ({error})",
            }
        ]
    return []
