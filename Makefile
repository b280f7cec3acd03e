VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
SEED ?= 0

.PHONY: install run test check format generate bench soak clean

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]' \
		2>&1 | grep -v '^WARNING: Location' || true
	$(BIN)/python -c 'import capnp, poplarspoke, pytest'
	touch $@

run: install
	$(BIN)/python -m poplarspoke demo

test: install check
	$(BIN)/python -m pytest

check: install
	$(BIN)/ruff format --check --quiet .
	$(BIN)/python -m tools.generate --check
	$(BIN)/flake8 poplarspoke tools bench tests
	$(BIN)/mypy

format: install
	$(BIN)/ruff format .

generate: install
	$(BIN)/python -m tools.generate

bench: install
	$(BIN)/python -m bench

soak: install
	$(BIN)/python -m tests.session_soak $(SEED) 3 20
	SOAK=1 SEED=$(SEED) $(BIN)/python -m pytest tests/soak.py

clean:
	rm -rf build out .mypy_cache .ruff_cache .hypothesis
