"""Commands for whoever is on call: what the logs say of requests."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from baobabthread.commands.options import argument, option
from baobabthread.errors import UsageError
from baobabthread.losses import count_losses, read_endings


@cappa.command(help="Table what requests lost, by route, moment and reason.")
@dataclass(kw_only=True, slots=True)
class Losses:
    """Show where requests were late, poorly answered, refused or failed."""

    logs: Annotated[list[Path], argument("LOG", "Log files of any instances.")]
    span_s: Annotated[
        float, option("span-s", "Seconds that one row covers.", default=10.0)
    ] = 10.0

    def run(self) -> int:
        """Print the table."""
        if self.span_s <= 0:
            raise UsageError("--span-s is not above 0", remedy="give seconds, as 10")
        lines = [line for path in self.logs for line in _read_lines(path)]
        endings = read_endings(lines)
        print(f"{len(endings)} requests in {len(self.logs)} files; logs hold a sample")
        for row in count_losses(endings, span_s=self.span_s):
            print(
                f"{row.from_s:8.0f} s  {row.route:24} {row.requests:6} "
                f"{row.part:6.1%}  {row.loss}"
            )
        return 0


def _read_lines(path: Path) -> list[str]:
    try:
        return path.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as error:
        raise UsageError(
            f"can't read '{path}': {error.strerror}", remedy="give readable log files"
        ) from None
