# Two commands for a newcomer: `make run` plays a first incident on real sockets, `make test` passes the tests.
# Both set up what they need from nothing, in .venv-lab.

PYTHON ?= python3
VENV := .venv-lab
JOBS ?= 4
READY := $(VENV)/.ready

.PHONY: run test same same-quick same-simulator

run: $(READY)
	$(VENV)/bin/python -m wheathill lab run experiments/first.toml --world sockets --report found

test: $(READY)
	$(VENV)/bin/python -m pytest

# Whether the build behaves as the recorded one did, to the digit (tests/exactness/play.py).
same: $(READY)
	$(VENV)/bin/python tests/exactness/play.py compare --jobs $(JOBS)

same-quick: $(READY)
	$(VENV)/bin/python tests/exactness/play.py compare --quick --jobs $(JOBS)

# The same of a site's days: make same-simulator LBSIM=PROGRAM SITE=SITE.toml
same-simulator: $(READY)
	LBSIM=$(LBSIM) SITE=$(SITE) $(VENV)/bin/python tests/exactness/simulator.py compare

$(READY): requirements.txt requirements-lab.txt requirements-test.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-lab.txt -r requirements-test.txt
	touch $(READY)
