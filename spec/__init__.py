"""A small specification of the lease protocol, explored by a model checker.

:mod:`spec.protocol` has the rules, :mod:`spec.models` the models that are explored,
:mod:`spec.messages` one with messages in flight and skewed clocks, and
:mod:`spec.mutants` the table of guards that are taken away one at a time. Run
``python -m spec`` to explore all of them and to print the numbers of states.
"""
