#!/bin/sh
# Builds the programs that the scripts of cases 4, 5 and 6 start, stand-ins included. The daemons are
# built by the build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
for n in 4 5 6; do
	if [ -d "review/$n/.case" ]; then
		go build -o "target/review-$n" "./review/$n/.case"
	fi
done
