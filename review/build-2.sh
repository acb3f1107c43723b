#!/bin/sh
# Builds the stand-ins that the scripts of this review start: plain Python, standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cp review/standins2/*.py target/review-2/
python3 -m compileall -q target/review-2
