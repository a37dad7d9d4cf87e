.PHONY: build demo lint run test

build: .venv/bin/hitchtiller

.venv/bin/hitchtiller: requirements.txt pyproject.toml
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	.venv/bin/pip -q install --no-deps --no-build-isolation -e .
	touch .venv/bin/hitchtiller

demo: build
	.venv/bin/hitchtiller demo

test: build
	.venv/bin/python -m pytest

lint: build
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

run: build
	BALANCER_CONFIG=examples/config.json .venv/bin/python -m hitchtiller
