#!/usr/bin/env bash
# The cases start only target/dragonflyd, which the command of the deploy file builds. Their stand-ins for the store, the
# engines and the clients are Python 3 with its standard library (common/stand_ins.py): nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [0-9]*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
