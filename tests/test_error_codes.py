"""Check that the operators' page lists every error code and its status."""

import pathlib
import re

from sycamoredale import error_codes

PAGE = (
    pathlib.Path(__file__).resolve().parent.parent
    / "docs"
    / "operators"
    / "error-codes.md"
)
ROW = re.compile(r"^\| `(\w+)` \| (\d+) \|", re.MULTILINE)


def test_page_lists_each_code_with_its_status() -> None:
    listed = {
        name: int(status) for name, status in ROW.findall(PAGE.read_text())
    }
    defined = {
        name: code.status for name, code in error_codes.CODE_BY_NAME.items()
    }
    assert listed == defined
