#!/usr/bin/env bash
# Regenerates Libraries/LibGenerated from the .proto files. The result is
# committed, so that a build needs no code generator.
set -euo pipefail
cd "$(dirname "$0")/.."
out=Libraries/LibGenerated
protoc -I Libraries/LibMembership --cpp_out="$out" --grpc_out="$out" \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" Libraries/LibMembership/Peer.proto
# The build globs only .cpp files.
mv "$out/Peer.pb.cc" "$out/Peer.pb.cpp"
mv "$out/Peer.grpc.pb.cc" "$out/Peer.grpc.pb.cpp"
# Our sources include these headers, but the linter must not check generated code.
for header in "$out"/Peer.pb.h "$out"/Peer.grpc.pb.h; do
  sed -i -e '1i // NOLINTBEGIN' -e '$a // NOLINTEND' "$header"
done
