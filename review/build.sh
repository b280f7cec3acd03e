#!/bin/sh
# The stand-ins are plain Python of the standard library; this checks that they
# compile. The daemons come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
for file in review/harness/*.py review/[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" ||
        exit 2
done
