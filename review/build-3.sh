#!/usr/bin/env bash
# Checks the stand-ins of review/lib-3 and the scripts that use them. They are
# written in Python and need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/*.py <<'END'
import os
import sys

for name in sys.argv[1:]:
    if os.path.exists(name):
        with open(name, encoding="utf-8") as source:
            compile(source.read(), name, "exec")
END
