# make demo: runs the main use case end to end, with separate processes.
# make test: runs all tests except those that KNOWN-RED.txt lists.
# make soak SEEDS=1-50: injects random faults into running routers.
# make lint, make measure: see CONTRIBUTING.md.
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
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

soak: $(STAMP)
	$(PYTHON) -m tests.soak.run --seeds '$(SEEDS)'

measure: $(STAMP)
	$(PYTHON) -m measure.run
	$(PYTHON) -m measure.forwarding_costs
	$(PYTHON) -m measure.process_costs
	$(PYTHON) -m measure.rest_costs
