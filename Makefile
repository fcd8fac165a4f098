VENV ?= .venv
PY := $(VENV)/bin/python
DEPLOYMENT ?= ballenticket
STEPS ?= 200
SEED ?= 1
TEST_PROCESSES ?= 6

# Serves one deployment until Ctrl-C, for calls by hand.
run: venv
	$(PY) -m standin.run --deployment $(DEPLOYMENT)

.PHONY: run venv demo test bench fuzz lint format gen

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

demo: venv
	$(PY) -m standin.demo --deployment $(DEPLOYMENT) --seed $(SEED)

test: venv
	$(PY) -m pytest -n $(TEST_PROCESSES) -m "not crowd"
	$(PY) -m pytest -m crowd

bench: venv
	$(PY) -m bench --seed $(SEED)

fuzz: venv
	$(PY) -m bench.fuzz --steps $(STEPS) --seed $(SEED)

lint: venv
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(VENV)/bin/lint-imports

format: venv
	$(PY) -m ruff check --fix .
	$(PY) -m ruff format .

# Needs Debian's thrift-compiler; the generated code is committed, so that no build needs it.
gen:
	thrift --gen py:slots -out . idl/peer.thrift
	rm -f __init__.py
