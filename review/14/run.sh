#!/usr/bin/env bash
# A member rejects part of its requests. Exit 1: rule broken, 0: held, 2: could not run.
cd "$(dirname "$0")" || exit 2
java -Xmx128m -cp ../../target/review-3 FailingSet ../.. .
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
