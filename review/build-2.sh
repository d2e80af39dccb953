#!/bin/sh
# Builds the stand-ins and cases of the second review into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/standins-2 review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null > target/review-2/sources.txt || true
javac --release 17 -d target/review-2 @target/review-2/sources.txt
