"""Run the command line with ``python -m zincwell``."""

from zincwell.cli import main

if __name__ == "__main__":
    main()
