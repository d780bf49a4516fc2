# Shared by the scripts in this folder: where things are, and how to install and build.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${MARIGOLD_BUILD:-$root/build}
packages=(g++ cmake ninja-build ccache clang-format clang-tidy libevent-dev libevhtp-dev libjsonrpccpp-dev
    prometheus-cpp-dev libexpected-dev libcxxopts-dev libfmt-dev libtomlplusplus-dev nlohmann-json3-dev
    libssl-dev libxxhash-dev libhttp-parser-dev doctest-dev librapidcheck-dev curl python3)

install_packages() {
    if ! dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
        export DEBIAN_FRONTEND=noninteractive
        apt-get update -qq
        apt-get install -y -qq "${packages[@]}" >/dev/null
    fi
}

build_all() {
    cmake -S "$root" -B "$build" -G Ninja >"$build.configure.log" 2>&1 || { cat "$build.configure.log"; return 1; }
    cmake --build "$build" --parallel "${MARIGOLD_JOBS:-10}" "$@"
}
