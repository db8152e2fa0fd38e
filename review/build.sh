#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs into review/out. Needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac --release 17 -Xlint:all -d out lib/review/*.java
