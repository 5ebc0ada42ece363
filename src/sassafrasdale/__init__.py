"""Serving system for language-model applications on reclaimable instances.

Usage::

    sassafrasdale entry --help
    sassafrasdale config check examples/authority.yaml
"""

from sassafrasdale.exceptions import SassafrasdaleError

__version__ = "0.1.0"

__all__ = ["SassafrasdaleError", "__version__"]
