# Two commands for a newcomer: `make run` plays a first incident on real sockets, `make test` passes the tests.
# Both set up what they need from nothing, in .venv-lab.

PYTHON ?= python3
VENV := .venv-lab
READY := $(VENV)/.ready

.PHONY: run test

run: $(READY)
	$(VENV)/bin/python -m wheathill lab run experiments/first.toml --world sockets --report found

test: $(READY)
	$(VENV)/bin/python -m pytest

$(READY): requirements.txt requirements-lab.txt requirements-test.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-lab.txt -r requirements-test.txt
	touch $(READY)
