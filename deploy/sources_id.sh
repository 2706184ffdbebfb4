#!/bin/sh
# Prints what identifies the sources of a node, as its `started` line names them.
set -eu
find src/limedeck -name '*.py' -print0 | sort -z | xargs -0 sha256sum | sha256sum | cut -c1-12
