#!/usr/bin/env bash
# Compiles the stand-ins and scripts of the review; they need Python alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
