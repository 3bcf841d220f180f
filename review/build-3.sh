#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the deploy file's program. Their stand-ins
# (review/site_3.py) are Python programs of the standard library: nothing has to be built.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
python3 -B -c 'import sys; sys.path.insert(0, "review"); import site_3'
