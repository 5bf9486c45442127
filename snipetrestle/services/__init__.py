"""Plain services that stand beside the engines."""
