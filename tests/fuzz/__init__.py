"""Stateful fuzzing: state machines inject faults and test oracles check the promises.

The promises are P1 to P9 of section 1.1 of docs/design.md.
"""
