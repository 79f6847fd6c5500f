#!/bin/sh
# Installs the Debian packages that the build needs and that are missing.
set -eu
packages="gcc g++ cmake ninja-build pkg-config clang clang-format clang-tidy \
cppcheck libevent-dev libmsgpack-dev libglib2.0-dev libjansson-dev libgtest-dev \
curl"
missing=""
for package in $packages; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
		missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
