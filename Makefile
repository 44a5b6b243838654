# Targets for people; each sets up what it needs.
VENV := .venv
PYTHON := $(VENV)/bin/python
SEED ?= 7
NAME ?= path_cost

.PHONY: run up test bench soak generate

$(VENV)/.ready: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

run: $(VENV)/.ready
	$(PYTHON) examples/demo.py

up: $(VENV)/.ready
	$(PYTHON) examples/demo.py --keep

test: $(VENV)/.ready
	bash scripts/test.sh

bench: $(VENV)/.ready
	$(PYTHON) -m benchmarks.bench_$(NAME) --seed $(SEED)

soak: $(VENV)/.ready
	$(PYTHON) -m tests.soak --seed $(SEED)

generate:
	scripts/generate_schema.sh
