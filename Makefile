PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: demo test check format bench

demo: $(VENV)/.stamp
	$(BIN)/zincwell demo

test: check
	$(BIN)/pytest -q

check: $(VENV)/.stamp
	$(BIN)/black --check --quiet zincwell tests bench proofs
	$(BIN)/ruff check zincwell tests bench proofs

format: $(VENV)/.stamp
	$(BIN)/black --quiet zincwell tests bench proofs
	$(BIN)/ruff check --fix zincwell tests bench proofs

$(VENV)/.stamp: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

bench: $(VENV)/.stamp
	$(BIN)/python -m bench run
