#!/usr/bin/env bash
# Builds what the cases 6 to 10 start besides build/tealcart: the project's own fleet managers and commands, its control
# service, and its stand-in of an xDS proxy. They are left in build-review-2/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-review-2
cmake -S . -B $build -DCMAKE_BUILD_TYPE=Release -DTEALCART_TESTS=OFF -DTEALCART_EXAMPLES=OFF -DTEALCART_FLEET=ON \
    -DTEALCART_CONTROL=ON
cmake --build $build -j"$(nproc)" --target tealcart-fleet-manager tealcart-fleet tealcart-control tealcart-record
