"""Run the command line."""

from azurerelay.cli import main

if __name__ == "__main__":
    main()
