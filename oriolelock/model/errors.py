"""
oriolelock.model.errors
~~~~~~~~~~~~~~~~~~~~~~~

    Errors of the model layer.
"""

__all__ = ["InvalidData", "ModelError"]


class ModelError(Exception):
    """Base of all errors of this layer."""


class InvalidData(ModelError):
    """Data that breaks a rule of the model; the text names the field and what is allowed."""
