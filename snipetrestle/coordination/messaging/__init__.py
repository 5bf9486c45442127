"""Datagrams between hosts: messages, requests, and reports of several rounds."""
