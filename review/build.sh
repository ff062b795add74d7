#!/usr/bin/env bash
# Builds what the cases start beside the router of the deploy file: the project's fleet managers and operators'
# commands, into build-review/. The other stand-ins are Python 3 scripts of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -B build-review -DCMAKE_BUILD_TYPE=Release -DTEALCART_TESTS=OFF -DTEALCART_EXAMPLES=OFF -DTEALCART_FLEET=ON
cmake --build build-review -j4 --target tealcart tealcart-fleet-manager tealcart-fleet
