#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 6 to 10: Python modules, which are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.py [0-9]/case.py [0-9][0-9]/case.py; do
  case "$file" in
    [1-5]/*) continue ;;
  esac
  [ -f "$file" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo built
