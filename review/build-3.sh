#!/bin/sh
# The stand-ins of cases 11 to 13 are Python programs without dependencies, which need no build, and the
# scripts start none of the project's own. Checks that this Python reads them.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
