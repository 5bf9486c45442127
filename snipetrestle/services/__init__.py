"""Client of plain services: HTTP services that are not model engines."""
