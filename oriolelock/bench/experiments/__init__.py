"""
oriolelock.bench.experiments
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One module per measurement, with ``add_arguments(parser)`` and ``run(args) -> figures``.
"""
