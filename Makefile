# Each target sets up .venv by itself; SCENARIO and DEPLOYMENT go to `bench`.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
SCENARIO ?= latency
DEPLOYMENT ?= manivela-sul
BENCH_ARGS ?=

.PHONY: demo test soak lint format bench proto

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(READY)

demo: $(READY)
	$(BIN)/apricothinged demo

test: $(READY)
	$(BIN)/python -m tests.run

soak: $(READY)
	$(BIN)/python -m tests.soak --seed 1 --seeds 3 --seconds 8
	$(BIN)/python -m tests.control_soak --seed 1 --seeds 2 --steps 3

lint: $(READY)
	$(BIN)/yapf --diff --recursive --exclude '*_pb2*' src tests bench
	$(BIN)/mypy
	$(BIN)/pylint src/apricothinge

format: $(READY)
	$(BIN)/yapf --in-place --recursive --exclude '*_pb2*' src tests bench

bench: $(READY)
	$(BIN)/python -m bench --scenario $(SCENARIO) --deployment $(DEPLOYMENT) $(BENCH_ARGS)

proto: $(READY)
	cd src && ../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpc_python_out=. apricothinge/control/control.proto
