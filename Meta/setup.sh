#!/usr/bin/env bash
# Installs the missing Debian packages that the build, the tests and the checks require.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy python3
  libace-dev libwebsocketpp-dev libboost-dev libboost-test-dev nlohmann-json3-dev
  libtomlplusplus-dev libcurl4-openssl-dev libmicrohttpd-dev libpopt-dev
  libeasyloggingpp-dev libxxhash-dev curl
)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if ((${#missing[@]} == 0)); then
  exit 0
fi
sudo=""
[ "$(id -u)" = 0 ] || sudo="sudo"
$sudo apt-get update
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y --no-install-recommends "${missing[@]}"
