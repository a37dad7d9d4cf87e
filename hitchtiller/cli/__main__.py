"""`python -m hitchtiller.cli` is `hitchtiller`."""

from hitchtiller.cli.main import main

if __name__ == "__main__":
    main()
