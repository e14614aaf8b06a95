# make demo: the main features, end to end, as separate processes.
# make test: all tests. make soak SEEDS=1-50: random faults on real routers. make lint, make measure: see CONTRIBUTING.md.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed

.PHONY: demo test lint format measure soak

$(STAMP): pyproject.toml requirements.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m demo.tour

test: $(STAMP)
	$(PYTHON) -m tests.known_red

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

soak: $(STAMP)
	$(PYTHON) -m tests.soak.run --seeds '$(SEEDS)'

measure: $(STAMP)
	$(PYTHON) -m measure.run
	$(PYTHON) -m measure.forwarding_costs
