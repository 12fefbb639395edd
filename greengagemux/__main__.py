"""Runs the command line as ``python -m greengagemux``."""

from .cli import main

main(prog_name='greengagemux')
