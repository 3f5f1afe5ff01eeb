#!/usr/bin/env bash
# Installs the Debian packages required by the build, the tests, the formatter and the linter.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
    librestinio-dev libboost-dev libboost-system-dev libasio-dev libhttp-parser-dev libfmt-dev
    libcereal-dev libabsl-dev liblog4cxx-dev libcpputest-dev libyaml-cpp-dev
    nlohmann-json3-dev libsodium-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if ((${#missing[@]} == 0)); then
    echo "bootstrap: all packages are installed"
    exit 0
fi
echo "bootstrap: installing ${missing[*]}"
run=()
((EUID == 0)) || run=(sudo)
"${run[@]}" apt-get update -q
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
