#!/bin/sh
# Builds the stand-ins of the cases. It needs the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-stand ./review/_stand
