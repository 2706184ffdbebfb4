#!/usr/bin/env bash
# Fails if the committed modules differ from those generated from the schemas.
set -euo pipefail
cd "$(dirname "$0")/.."
fresh="$(mktemp -d)"
trap 'rm -rf "$fresh"' EXIT
./scripts/generate_api.sh "$fresh"
for file in "$fresh"/limedeck/api/*; do
    diff --unified "src/limedeck/api/$(basename "$file")" "$file"
done
echo "generated code matches the schemas"
