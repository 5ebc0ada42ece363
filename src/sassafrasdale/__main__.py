"""Entry point of ``python -m sassafrasdale``."""

import os
import sys

from sassafrasdale.platform.early import open_early

if __name__ == "__main__":
    if sys.argv[1:2] == ["gateway"]:
        open_early(os.environ)
    # The command line takes a while to load, and callers wait.
    from sassafrasdale.cli.main import main

    main()
