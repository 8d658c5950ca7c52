PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

SEED ?= 1
MINUTES ?= 10

.PHONY: setup format lint types unit test demo soak measure clean

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

# Plays the scenarios of tests/scenarios, singly and then in pairs.
soak: setup
	$(BIN)/python -m tests.scenarios.runner --seed $(SEED) --minutes $(MINUTES)

# Runs benchmarks/ and writes docs/measurements.md with its plots.
measure: setup
	$(BIN)/python -m benchmarks.run

clean:
	rm -rf $(VENV) build *.egg-info
