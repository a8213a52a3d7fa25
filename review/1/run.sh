#!/usr/bin/env bash
# Exits with 1 if a request that may run once ran twice, with 0 if none did, with 2 if the case
# couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")"
root="$(cd ../.. && pwd)"
exec java -Xmx256m -Droot="$root" -cp "$root/target/review" ForeignEntry "$PWD"
