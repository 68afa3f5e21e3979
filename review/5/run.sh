#!/usr/bin/env bash
# Plays this case. With TROUBLE=0 it plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../play.sh" config "$folder"
