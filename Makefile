# Commands of the project. `make demo` and `make test` need only Python 3.11.
PYTHON ?= python3
VENV ?= .venv
RUN = PYTHONPATH=. $(VENV)/bin/python

# The stamp is named by the pins, so a changed pin installs again.
STAMP = $(VENV)/.installed-$(shell cat requirements/*.txt | cksum | cut -d' ' -f1)

.PHONY: setup demo lint format test fuzz fuzz-requests soak chaos bench-parsing bench-path bench-policy bench-control near-misses trouble-days binary generate

setup: $(STAMP)

$(STAMP):
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -r requirements/develop.txt
	touch $@

demo: setup
	$(RUN) -m snipetrestle demo

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

# Fuzzing with fixed seeds takes the same steps only with a fixed order of sets.
test: lint
	PYTHONHASHSEED=0 $(RUN) -m tests.run

fuzz: setup
	$(RUN) -m tests.fuzz

fuzz-requests: setup
	$(RUN) -m tests.gateway.sequence_fuzz $(ARGS)

soak: setup
	$(RUN) -m tests.soak $(ARGS)

chaos: setup
	$(RUN) -m benchmarks.chaos

bench-parsing: setup
	$(RUN) -m benchmarks.parsing

bench-path: setup
	$(RUN) -m benchmarks.path

bench-policy: setup
	$(RUN) -m benchmarks.policy $(ARGS)

bench-control: setup
	$(RUN) -m benchmarks.control $(ARGS)

near-misses: setup
	$(RUN) -m benchmarks.near_misses $(ARGS)

trouble-days: setup
	$(RUN) -m benchmarks.trouble_days $(ARGS)

binary: setup
	$(RUN) binary/build.py

# Generated gRPC code is committed; this target writes it again.
generate: setup
	$(RUN) -m grpc_tools.protoc -I. --python_out=. --grpc_python_out=. snipetrestle/peers/peer.proto
