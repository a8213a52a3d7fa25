#!/usr/bin/env bash
# Builds the stand-ins of the scripts.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review $(find review -name '*.java')
