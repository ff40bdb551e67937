VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin

.PHONY: demo test lint binary binary-check proofs docs-check clean

$(VENV)/.ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/baobabthread demo

test: $(VENV)/.ready
	$(BIN)/python -m pytest

lint: $(VENV)/.ready
	$(BIN)/ruff format --check src bench tests
	$(BIN)/ruff check src bench tests
	$(BIN)/mypy

binary: $(VENV)/.ready
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed -c baobabthread -o dist/baobabthread -r requirements.txt --no-deps . 2>/dev/null || \
	$(BIN)/shiv --compressed -c baobabthread -o dist/baobabthread .

binary-check: binary
	$(BIN)/python -m pytest tests/test_binary.py

proofs: $(VENV)/.ready
	$(BIN)/python -m bench proofs

docs-check: $(VENV)/.ready
	$(BIN)/python -m pytest tests/test_docs.py

clean:
	rm -rf build dist $(VENV)
