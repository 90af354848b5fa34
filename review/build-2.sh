#!/bin/sh
# Builds what the scripts of the second review start, beside the programs of the deploy file. Their
# stand-ins (lib2/kit.py) are interpreted and use only Python's standard library, so there is nothing
# to compile; this checks that they can run here.
set -eu
cd "$(dirname "$0")"
python3 -B -c '
import sys
assert sys.version_info >= (3, 10), "Python 3.10 or newer is needed"
sys.path.insert(0, "lib2")
import kit
for case in sys.argv[1:]:
    with open(case) as file:
        compile(file.read(), case, "exec")
' [0-9]*/play.py
