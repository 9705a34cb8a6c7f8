#!/usr/bin/env bash
# Needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/lost_machine 2
