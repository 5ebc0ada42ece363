"""Entry point of ``python -m sassafrasdale``."""

from sassafrasdale.cli.main import main

if __name__ == "__main__":
    main()
