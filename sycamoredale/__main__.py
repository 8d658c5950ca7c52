"""Run the command line."""

from sycamoredale import cli

cli.main()
