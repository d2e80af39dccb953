#!/bin/sh
# Exits with 1 if an acknowledged commit isn't in the log of the member that is promoted, 0 if not, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/SynchronousCommitLost.class ] && [ -d target/gateway ] || exit 2
rm -f review/6/record.txt
timeout 117 java -Xmx512m -cp target/review-2 SynchronousCommitLost "$PWD" "$PWD/review/6/record.txt"
code=$?
# An exit with 1 counts only if the record says so; an error of the script exits with 1 too.
[ $code -le 1 ] && tail -n 1 review/6/record.txt | grep -q "exit $code$" || code=2
exit $code
