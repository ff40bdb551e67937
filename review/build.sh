#!/bin/sh
# Builds the stand-ins of the cases: they are Python files, and use nothing but the
# standard library and the project's own loopback networks in target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="target/deps:review" python3 -c "import baobabthread.standins.loopback" || exit 1
exec python3 -m compileall -q review
