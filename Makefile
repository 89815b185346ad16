# Each target first sets up a virtual environment with the packages pinned in
# requirements.lock and the packages of the workspace.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = jujubebend jujubebend-http jujubebend-wire jujubebend-platform jujubebend-standin jujubebend-entry jujubebend-ctl jujubebend-cluster
SOURCES = packages platform tests properties benchmarks scenarios

.PHONY: demo test lint format unit sweep bench proto regression

$(VENV)/ready: requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

demo: $(VENV)/ready
	$(BIN)/jujubebend try

lint: $(VENV)/ready
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(VENV)/ready
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

unit: $(VENV)/ready
	$(BIN)/python -m pytest

test: lint unit

# Run every scenario, including the timed ones, with several seeds.
SEED ?= 1
RUNS ?= 3
sweep: $(VENV)/ready
	$(BIN)/python -m scenarios --seed $(SEED) --runs $(RUNS)

bench: $(VENV)/ready
	$(BIN)/python -m benchmarks

# Score the deployments of deploy/regression.txt with the platform's bench:
#   make regression FLEETBENCH=path/to/fleetbench SITES=folder/of/site/files
JOBS ?= 3
regression:
	@test -x "$(FLEETBENCH)" || { echo "FLEETBENCH must name the bench's program"; exit 2; }
	grep -v '^#' deploy/regression.txt | while read -r site; do "$(FLEETBENCH)" score "$(SITES)/$$site" --quick --jobs $(JOBS) --why regression || exit 1; done

proto: $(VENV)/ready
	$(BIN)/python -m grpc_tools.protoc -Ipackages/jujubebend-wire/src --python_out=packages/jujubebend-wire/src --grpc_python_out=packages/jujubebend-wire/src packages/jujubebend-wire/src/jujubebend_wire/entry.proto
