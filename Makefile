# `make run` plays a first incident on real sockets, `make test` runs all tests, `make test-quick` those of them that take
# less than a minute together, `make lint` checks format, lint rules and types.
# Each sets up what it needs from nothing, in .venv-lab.

PYTHON ?= python3
VENV := .venv-lab
JOBS ?= 4
SEEDS ?= 1..2000
READY := $(VENV)/.ready

.PHONY: run test test-quick lint same same-quick same-simulator soak

run: $(READY)
	$(VENV)/bin/python -m wheathill lab run experiments/first.toml --world sockets --report found

test: $(READY)
	PYTHON=$(VENV)/bin/python tests/run.sh

test-quick: $(READY)
	$(VENV)/bin/python -m pytest -n 4 -m "not processes and not slow"

lint: $(READY)
	PYTHON=$(VENV)/bin/python .ci/lint.sh

# Whether the build behaves as the recorded one did, to the digit (tests/exactness/play.py).
same: $(READY)
	$(VENV)/bin/python tests/exactness/play.py compare --jobs $(JOBS)

same-quick: $(READY)
	$(VENV)/bin/python tests/exactness/play.py compare --quick --jobs $(JOBS)

# The same of a site's days: make same-simulator LBSIM=PROGRAM SITE=SITE.toml
same-simulator: $(READY)
	LBSIM=$(LBSIM) SITE=$(SITE) $(VENV)/bin/python tests/exactness/simulator.py compare

# Planned restarts that meet other disruptions, drawn at random: make soak SEEDS=1..5000
soak: $(READY)
	$(VENV)/bin/python tests/soak/run.py --seeds $(SEEDS) --jobs $(JOBS)

$(READY): requirements.txt requirements-lab.txt requirements-test.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-lab.txt -r requirements-test.txt
	touch $(READY)
