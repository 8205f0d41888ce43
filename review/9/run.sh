#!/bin/sh
# Runs this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
number=$(basename "$here")
program=target/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x target/release/dunemount ]; then
    echo "not run: build first (deploy/balancer.toml, review/build-2.sh)"
    exit 2
fi
folder=$(mktemp -d) || exit 2
"$program" "$folder" "$here/record.txt"
status=$?
rm -rf "$folder"
case $status in
0 | 1 | 2) exit $status ;;
*) exit 2 ;;
esac
