# The two commands of the README, and what CI runs of them.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
WORKERS ?= 4

.PHONY: demo test check pytest plots clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[test,dev,docs]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/poplarloft demo

check: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8
	$(BIN)/lint-imports --no-cache
	$(BIN)/mypy

# Tests marked `alone` start processes or measure memory: one at a time.
pytest: $(VENV)/.installed
	$(BIN)/python -m pytest -n $(WORKERS) --dist worksteal -m 'not alone'
	$(BIN)/python -m pytest -m alone

test: check pytest

clean:
	rm -rf $(VENV) build *.egg-info
