# Two commands on a fresh machine with Python 3.11: `make demo` and `make test`.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
INSTALLED := $(VENV)/.installed

.PHONY: install demo test check soak generate lock clean

install: $(INSTALLED)

$(INSTALLED): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(INSTALLED)

# A whole site in separate processes: requests end to end, a drain and a planned stop meanwhile.
demo: $(INSTALLED)
	$(BIN)/limedeck-lab demo --site examples/kostanay.toml

test: $(INSTALLED)
	./scripts/run_tests.sh

# Formatter, linter, types, import contracts, generated code.
check: $(INSTALLED)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports
	./scripts/check_generated_api.sh

# Many seeds under all faults: make soak RUNS=1000 MINUTES=10 WORKERS=8 SITE=nordeste SEED=1
RUNS ?= 100
MINUTES ?= 10
WORKERS ?= 4
SITE ?= kostanay
SEED ?= 1
soak: $(INSTALLED)
	$(BIN)/limedeck-lab simulate --site $(SITE) --seed $(SEED) --runs $(RUNS) \
	    --minutes $(MINUTES) --workers $(WORKERS) --faults all --json

generate: $(INSTALLED)
	./scripts/generate_api.sh

lock: $(INSTALLED)
	$(BIN)/pip freeze --exclude-editable > requirements.lock

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
