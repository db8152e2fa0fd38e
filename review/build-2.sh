#!/usr/bin/env bash
# Builds the stand-ins and checks of the second review (cases 6 to 10) into review/lib-2/out. Needs a JDK 17 alone.
set -euo pipefail
cd "$(dirname "$0")/lib-2"
rm -rf out
mkdir out
javac --release 17 -d out src/*.java
