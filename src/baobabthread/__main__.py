"""Run the command line with `python -m baobabthread`."""

from baobabthread.cli import main

main()
