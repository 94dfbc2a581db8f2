#!/bin/sh
# The stand-ins are Python of the standard library: there is nothing to build but a check that they compile.
set -eu
cd "$(dirname "$0")"
for file in stand/*.py ?/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
