#!/usr/bin/env python3
"""Prints "KEY SOURCE" for each source listed on standard input, one per line.

KEY is a hash of everything that determines the result of clang-tidy: the source, all included headers as recorded by
the build, the compiler flags, the checks and the version of clang-tidy. It is "-" for a source unknown to the build.

Usage: lint_keys.py BUILD_DIRECTORY < sources
"""
import hashlib
import json
import os
import subprocess
import sys


def hash_of(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


def recorded_headers(build: str) -> dict[str, set[str]]:
    """Included headers by source, both as real paths."""
    headers: dict[str, set[str]] = {}
    listing = subprocess.run(["ninja", "-C", build, "-t", "deps"], capture_output=True, text=True, check=True).stdout
    for block in listing.split("\n\n"):
        paths = [os.path.realpath(os.path.join(build, line.strip())) for line in block.splitlines()[1:]]
        if paths:
            headers.setdefault(paths[0], set()).update(paths)
    return headers


def compiler_flags(build: str, root: str) -> dict[str, str]:
    """Compiler commands by source, without the path of the checkout."""
    flags: dict[str, str] = {}
    with open(os.path.join(build, "compile_commands.json"), encoding="utf-8") as file:
        for entry in json.load(file):
            source = os.path.realpath(entry["file"])
            flags[source] = flags.get(source, "") + entry["command"].replace(root, "")
    return flags


def main() -> None:
    build = sys.argv[1]
    root = os.path.realpath(".")
    headers = recorded_headers(build)
    flags = compiler_flags(build, root)
    with open(".clang-tidy", "rb") as file:
        checks = file.read()
    checks += subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    contents: dict[str, str] = {}

    def content(path: str) -> str:
        if path not in contents:
            with open(path, "rb") as file:
                contents[path] = hash_of(file.read())
        return contents[path]

    for source in sys.stdin.read().split():
        path = os.path.realpath(source)
        if path not in headers or path not in flags:
            print("-", source)
            continue
        parts = [header.removeprefix(root) + " " + content(header) for header in sorted(headers[path])]
        print(hash_of(checks + "\n".join([flags[path], *parts]).encode()), source)


main()
