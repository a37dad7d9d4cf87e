.PHONY: build test lint run

build: .venv/bin/python

.venv/bin/python: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt

test: build
	.venv/bin/python -m pytest

lint: build
	.venv/bin/ruff check .
	.venv/bin/mypy

run: build
	BALANCER_CONFIG=examples/config.json .venv/bin/python -m hitchtiller
