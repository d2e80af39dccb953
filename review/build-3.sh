#!/usr/bin/env bash
# Builds the stand-ins of review/standins-3 into target/review-3. Needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java
