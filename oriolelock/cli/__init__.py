"""
oriolelock.cli
~~~~~~~~~~~~~~

    The operators' verbs, one module each: ``configure(parser)`` adds its arguments and
    ``run(args)`` returns the exit code. ``verbs.VERBS`` lists them.
"""
