#!/usr/bin/env bash
# Builds the stand-ins and plays of the scripts with the JDK alone. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
javac=javac
if [ -n "${JAVA_HOME:-}" ] && [ -x "$JAVA_HOME/bin/javac" ]; then javac=$JAVA_HOME/bin/javac; fi
rm -rf target/review
mkdir -p target/review
"$javac" -encoding UTF-8 -d target/review review/standins/*.java $(find review -mindepth 2 -path 'review/[0-9]/*.java')
