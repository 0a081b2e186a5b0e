#!/usr/bin/env bash
# The stand-ins are Python programs, some of them the project's own (tests/process/gateway_standins.py); this checks
# that they can be compiled. The gateway itself is built by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for source in ../tests/process/gateway_standins.py lib/*.py [1-5]/*.py; do
    /usr/bin/python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
