#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are review/site_2.py, which needs Python 3.11 and no packages: nothing is built.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 -B -c 'import ast; ast.parse(open("site_2.py").read())'
