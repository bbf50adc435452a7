#!/usr/bin/env bash
# Installs the Debian 12 packages that the build, the tests and the checks need.
set -euo pipefail
packages=(g++ cmake make ninja-build ccache pkg-config git libzmq3-dev cppzmq-dev libprotobuf-dev
  libboost-dev libmicrohttpd-dev libcurl4-openssl-dev libssl-dev libspdlog-dev libfmt-dev
  libexpected-dev libcriterion-dev nlohmann-json3-dev libxxhash-dev clang clang-format clang-tidy
  libclang-rt-14-dev python3 curl)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq "${missing[@]}" >/dev/null
fi
