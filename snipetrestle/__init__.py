"""Serving layer for very many LoRA adapters on a shared fleet of model engines."""

__version__ = "0.1.0"
