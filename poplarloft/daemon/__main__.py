"""Run the daemon with ``python -m poplarloft.daemon``."""

from poplarloft.daemon import main

main.main()
