"""Gives a test the system that it runs against, in place of set-up in each test."""

import functools

from snipetrestle_standins.clock import run_in_virtual_time


def with_system(run, *args, **options):
    """Decorates an async test method, which gets the system as its argument.

    ``run(function, *args, **options)`` builds a system and runs ``function(system)``
    against it, as the ``run_fleet`` and ``run_system`` of the test modules do.
    """

    def decorate(test):
        @functools.wraps(test)
        def run_test(self):
            run(functools.partial(test, self), *args, **options)

        return run_test

    return decorate


def with_own_system(name, *args, **options):
    """Like ``with_system``, with the method ``name`` of the test's class as ``run``."""

    def decorate(test):
        @functools.wraps(test)
        def run_test(self):
            getattr(self, name)(functools.partial(test, self), *args, **options)

        return run_test

    return decorate


# Runs an async test method, which gets no argument, in virtual time.
in_virtual_time = with_system(run_in_virtual_time)
