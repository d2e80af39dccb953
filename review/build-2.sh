#!/bin/sh
# Builds the stand-ins and cases of the second review into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/standins-2 -name "*.java" > target/review-2/sources.txt
javac --release 17 -d target/review-2 @target/review-2/sources.txt
