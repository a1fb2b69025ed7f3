VENV := .venv
PYTHON := $(VENV)/bin/python
SECONDS ?= 20
SEED ?= 1

# The users' bench and the site files of a regression run; neither is part of the project.
FLEETBENCH ?= fleetbench
SITES ?=

.PHONY: demo test lint unit capacity bench regression clean

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(PYTHON) -m azurerelay demo --seconds $(SECONDS) --seed $(SEED)

test: lint unit

lint: $(VENV)/.installed
	$(PYTHON) -m black --quiet --check src tests bench
	$(PYTHON) -m ruff check --quiet src tests bench
	$(PYTHON) -m mypy

unit: $(VENV)/.installed
	$(PYTHON) tests/run.py

capacity: $(VENV)/.installed
	$(PYTHON) -m bench.capacity

bench: $(VENV)/.installed
	for name in overhead failover settings_in_force replica_reads overload at_most_once registry_expiry faults control_cost logging_cost; do \
	  $(PYTHON) -m bench.$$name || exit 1; \
	done

regression:
	@test -n "$(SITES)" || { echo 'SITES="FILE FILE" names the site files'; exit 2; }
	for site in $(SITES); do \
	  $(FLEETBENCH) score $$site --no-cpu --why "regression run" || exit 1; \
	done

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache
