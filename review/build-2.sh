#!/bin/bash
# Builds the stand-ins and the scripts of review/6 and later into target/review-2; needs nothing but the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standin-2/*.java review/cases-2/*.java
mkdir -p target/review-rig
javac -encoding UTF-8 -d target/review-rig review/rig/*.java
