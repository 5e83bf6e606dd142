#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, besides the deploy file's
# program. Their stand-ins (lib-2/) are Python and need no build; this checks
# that Python reads them.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in lib-2/*.py [0-9]*/run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
