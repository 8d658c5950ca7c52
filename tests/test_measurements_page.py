"""Test that the page of measurements shows figures and failures."""

import datetime
import pathlib

import pytest

from benchmarks import run

NOW = datetime.datetime(2026, 1, 2, 3, 4)


def test_page_shows_figures_and_failures() -> None:
    figures = [
        {"measure": "a.cpu", "value": 2.5, "unit": "us", "size": n, "calls": 7}
        for n in (1, 2)
    ]
    results = [
        run.Result("a", "Measure a.", figures),
        run.Result("b", "Measure b.", [], "over 240 s"),
    ]
    text = "\n".join(run.render_page(results, "abc123", NOW))
    assert "| a.cpu |  | 2 | 2.5 | us | calls 7 |" in text
    assert "![a.cpu](plots/a-cpu.png)" in text
    assert "Not run to its end: over 240 s" in text


def test_failing_script_is_reported(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    scripts = tmp_path / "benchmarks"
    scripts.mkdir()
    (scripts / "__init__.py").touch()
    (scripts / "bad.py").write_text('"""Measure x."""\nraise OSError("y")\n')
    (scripts / "helper.py").write_text('"""Help to measure."""\n')
    monkeypatch.setattr(run, "ROOT", tmp_path)
    (bad,) = run.list_scripts()
    result = run.run_script(bad)
    assert result.failure == "OSError: y"
