"""`python -m hitchtiller.cli` runs the command `hitchtiller`."""

from hitchtiller.cli.main import main

if __name__ == "__main__":
    main()
