#!/bin/sh
# Checks what the cases of the second review need. Their stand-ins are review/harness.py and the
# case files, which use the standard library alone; the gateway's packages are those of the build of
# the deploy file, in target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps
cache="$(mktemp -d)"
trap 'rm -rf "$cache"' EXIT
for file in review/harness.py review/[4-8]/*.py; do
    PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile "$file"
done
