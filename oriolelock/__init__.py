"""
oriolelock
~~~~~~~~~~

    Global traffic steering: which entry a caller uses, which endpoint serves a request, and
    the replicated configuration that decides both.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
