"""Runs the command line program as `python -m sardinedrift`."""

from sardinedrift.cli import main

if __name__ == "__main__":
    main(prog_name="sardinedrift")
