#!/bin/sh
# The stand-ins of the cases are Python without dependencies (review/lib/fleet.py): nothing to
# install. Their syntax is checked, so that a broken one fails here.
cd "$(dirname "$0")" || exit 1
for file in lib/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
