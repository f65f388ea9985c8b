#!/bin/sh
# The stand-ins of review 3 are plain Python 3.11 without dependencies. This
# checks that they compile and that the deploy file's build has run.
cd "$(dirname "$0")/.." || exit 1
test -d target/deps/agatestile || {
    echo "run the build of deploy/system.toml first" >&2
    exit 1
}
for file in review/common-3/*.py review/1[1-5]/*.py; do
    test -e "$file" || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
