"""Decides which replica gets each request, and in which order requests are sent."""
