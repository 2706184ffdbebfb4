#!/bin/sh
# Puts the libraries of a node, and limedeck itself, under target/deps. What is there already and
# unchanged is left alone, since processes may be starting from it.
set -eu
deps=target/deps
# A folder may come from a machine of another kind, whose native libraries do not load here.
libraries="$(uname -m) $(python3 -c 'import sys; print(sys.implementation.cache_tag)')"
libraries="$libraries $(sha256sum < deploy/requirements.txt)"
if [ "$(cat "$deps/.libraries" 2>/dev/null || true)" != "$libraries" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-compile \
        --target "$deps" -r deploy/requirements.txt
    python3 -m compileall -q "$deps"
    echo "$libraries" > "$deps/.libraries"
fi
sources=$(sh deploy/sources_id.sh)
if [ "$(cat "$deps/.sources" 2>/dev/null || true)" != "$sources" ]; then
    rm -rf "$deps/.next"
    cp -r src/limedeck "$deps/.next"
    find "$deps/.next" -name __pycache__ -prune -exec rm -rf {} +
    echo "$sources" > "$deps/.next/BUILD"
    python3 -m compileall -q "$deps/.next" -s "$deps/.next" -p "$deps/limedeck"
    rm -rf "$deps/limedeck"
    mv "$deps/.next" "$deps/limedeck"
    echo "$sources" > "$deps/.sources"
fi
