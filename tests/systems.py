"""Gives a test the system that it runs against, in place of set-up in each test."""

import functools


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
