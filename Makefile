PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: demo test check format bench

demo: $(VENV)/.stamp
	$(BIN)/zincwell demo

# The order of sets decides which way the random days take; a fixed one gives one verdict. The tests
# of a file share ports and processes, so a file stays in one process.
test: check
	PYTHONHASHSEED=0 $(BIN)/pytest -q -n 5 --dist loadfile

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
