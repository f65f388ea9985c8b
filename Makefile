PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
AGATESTILE ?= $(BIN)/agatestile
SEED ?= 1
SECONDS ?= 600
RUNS ?= 1
WHY ?= a single day
DAYS ?= 40

export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: setup demo test check explore platform-day platform-hunt platform-soak soak measure binary lock generate clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.lock
	$(BIN)/python -m pip install -q --no-deps -e .
	touch $@

demo: setup
	$(BIN)/python -m bench.demo --agatestile "$(AGATESTILE)"

check: setup
	$(BIN)/ruff format --check src tests standins bench examples
	$(BIN)/flake8 src tests standins bench examples
	$(BIN)/mypy

test: check
	$(BIN)/pytest

platform-day:
	$(FLEETBENCH) run $(SITE) $(DAY) --jobs 1 --why "$(WHY)"

platform-hunt:
	for site in $(SITES); do \
		$(FLEETBENCH) hunt $$site --days $(DAYS) --jobs 3 --why "$(WHY)" \
			|| exit 1; \
	done

soak: setup
	$(BIN)/python -m bench.soak --seed $(SEED) --seconds $(SECONDS)

explore: setup
	$(BIN)/python -m bench.explorer --first $(SEED) --count $(RUNS)

platform-soak: setup
	$(BIN)/python -m bench.platform_soak --seed $(SEED) --runs $(RUNS) \
		--seconds $(SECONDS)

measure: setup
	$(BIN)/python -m bench.measure --agatestile "$(AGATESTILE)"

binary: setup
	rm -rf build/wheel
	mkdir -p dist
	$(BIN)/python -m pip wheel -q --no-deps -w build/wheel .
	$(BIN)/shiv -q -c agatestile -o dist/agatestile \
		-p "/usr/bin/env $(PYTHON)" \
		-r requirements-run.lock build/wheel/agatestile-*.whl

lock: setup
	$(BIN)/pip-compile -q --strip-extras --no-emit-index-url \
		--no-emit-find-links -o requirements-run.lock pyproject.toml
	$(BIN)/pip-compile -q --strip-extras --all-extras \
		--no-emit-index-url --no-emit-find-links \
		-o requirements.lock pyproject.toml

generate:
	thrift --gen py -out src/agatestile/rpc/generated \
		src/agatestile/rpc/agatestile.thrift
	rm -f src/agatestile/rpc/generated/agatestile_rpc/Peer-remote

clean:
	rm -rf $(VENV) build dist
