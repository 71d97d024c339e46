VENV := .venv
PYTHON := $(VENV)/bin/python
DEPLOYMENT ?= riddim
SEEDS ?= x10
NOTICES ?= 3
TEAMS ?= 0
APART ?= 0
TAKEOVERS ?= 0
RETURNS ?= 0
RELOADS ?= 0
QUOTA ?= 0
REPORT ?= build/soak.html
STAMP := $(VENV)/.installed

.PHONY: install demo test properties soak lint format bench report pages binary clean

install: $(STAMP)

$(STAMP): requirements.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $(STAMP)

demo: install
	$(PYTHON) -m bench.demo --deployment $(DEPLOYMENT)

test: install
	$(PYTHON) -m pytest -n 4 --dist worksteal

properties: install
	HYPOTHESIS_PROFILE=soak $(PYTHON) -m pytest -n 4 --dist worksteal

soak: install
	$(PYTHON) -m soak --seeds $(SEEDS) --notices $(NOTICES) --teams $(TEAMS) \
		--apart $(APART) --takeovers $(TAKEOVERS) --returns $(RETURNS) --reloads $(RELOADS) --quota $(QUOTA) --report $(REPORT)

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: install
	$(PYTHON) -m bench $(if $(ONLY),--only $(ONLY))

report: install
	$(PYTHON) -m bench.report

pages: install
	$(PYTHON) -m tools.pages

clean:
	rm -rf dist build .pytest_cache .mypy_cache .ruff_cache

binary: install
	$(PYTHON) -m tools.binary.build
