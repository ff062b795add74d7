#!/usr/bin/env bash
# Builds what the cases 6 to 10 start besides build/tealcart: the project's own fleet managers and operators' commands
# (build-review-2/), and its control service with its stand-in of an xDS proxy (build-review-2-xds/, case 9 alone). The
# other stand-ins are kit2.py, Python 3 with its standard library. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
common=(-S . -DCMAKE_BUILD_TYPE=Release -DTEALCART_TESTS=OFF -DTEALCART_EXAMPLES=OFF)
cmake -B build-review-2 "${common[@]}" -DTEALCART_FLEET=ON
cmake --build build-review-2 -j4 --target tealcart-fleet-manager tealcart-fleet
cmake -B build-review-2-xds "${common[@]}" -DTEALCART_CONTROL=ON
cmake --build build-review-2-xds -j4 --target tealcart-control tealcart-record
