"""Computes the figures of docs/CAPACITY.md from the measured slopes.

Usage:
  capacity [--check]

Options:
  --check  Change nothing; fail if the page differs from the results.
"""

import pathlib
import re
import sys
from collections.abc import Callable

import docopt

from . import capacity_tables as worked_out
from . import measured_tables as measured
from . import quota_tables as quotas
from .capacity_model import Inputs, read_inputs

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BLOCK = re.compile(r"(<!-- figures: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)

BLOCKS: dict[str, Callable[[Inputs], str]] = {
    "target": worked_out.block_target,
    "slopes": worked_out.block_slopes,
    "events": worked_out.block_events,
    "rates": worked_out.block_rates,
    "roles": worked_out.block_roles,
    "ownership": worked_out.block_ownership,
    "platform": worked_out.block_platform,
    "convergence": measured.block_convergence,
    "bytes": measured.block_bytes,
    "calls": measured.block_calls,
    "added": measured.block_added,
    "bad_days": measured.block_bad_days,
    "machine": measured.block_machine,
    "quota_check": quotas.block_quota_check,
    "quota_reports": quotas.block_quota_reports,
    "quota_traffic": quotas.block_quota_traffic,
    "quota_target": quotas.block_quota_target,
    "quota_mix": quotas.block_quota_mix,
}


def render(text: str, inputs: Inputs) -> str:
    """Return the page with every block computed anew."""

    def fill(match: re.Match[str]) -> str:
        return f"{match[1]}{BLOCKS[match[2]](inputs)}{match[3]}"

    return BLOCK.sub(fill, text)


def main() -> int:
    """Run from the command line."""
    options = docopt.docopt(__doc__ or "")
    text = PAGE.read_text()
    rendered = render(text, read_inputs())
    if options["--check"]:
        return 0 if rendered == text else 1
    PAGE.write_text(rendered)
    return 0


if __name__ == "__main__":
    sys.exit(main())
