PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup format lint types unit test demo clean

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt -e ".[test,plots]"
	touch $@

format: setup
	$(BIN)/python -m isort --quiet sycamoredale tests benchmarks demo
	$(BIN)/python -m black --quiet sycamoredale tests benchmarks demo

lint: setup
	$(BIN)/python -m isort --quiet --check sycamoredale tests benchmarks demo
	$(BIN)/python -m black --quiet --check sycamoredale tests benchmarks demo
	$(BIN)/python -m flake8 sycamoredale tests benchmarks demo

types: setup
	$(BIN)/python -m mypy

unit: setup
	$(BIN)/python -m pytest -q

test: lint types unit

demo: setup
	$(BIN)/python -m demo

clean:
	rm -rf $(VENV) build *.egg-info
