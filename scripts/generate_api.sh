#!/usr/bin/env bash
# Generates the Python modules for proto/ into the directory given as first argument (default: src).
set -euo pipefail
cd "$(dirname "$0")/.."
target="${1:-src}"
bin=.venv/bin
protos=(proto/limedeck/api/*.proto)
"$bin/python" -m grpc_tools.protoc -Iproto --plugin="$bin/protoc-gen-mypy" --plugin="$bin/protoc-gen-mypy_grpc" \
    --python_out="$target" --mypy_out="quiet:$target" "${protos[@]}"
"$bin/python" -m grpc_tools.protoc -Iproto --plugin="$bin/protoc-gen-mypy_grpc" \
    --grpc_python_out="$target" --mypy_grpc_out="quiet:$target" proto/limedeck/api/operators.proto
