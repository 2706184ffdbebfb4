#!/bin/sh
# Puts the libraries of a node, and limedeck itself, under target/deps.
set -eu
deps=target/deps
if [ ! -e "$deps/.libraries" ] || [ deploy/requirements.txt -nt "$deps/.libraries" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-compile \
        --target "$deps" -r deploy/requirements.txt
    python3 -m compileall -q "$deps"
    touch "$deps/.libraries"
fi
rm -rf "$deps/limedeck"
cp -r src/limedeck "$deps/limedeck"
python3 -m compileall -q "$deps/limedeck"
