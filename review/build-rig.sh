#!/bin/bash
# Builds the stand-ins that the scripts of this review start; needs the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-rig
javac -d target/review-rig review/rig/*.java
