#!/usr/bin/env bash
# Installs to a folder of the build, compiles examples/embed.c against it with
# pkg-config, shared and static, and checks the programs, the symbols that the
# library exports, the example tables and the manual pages.
# Usage: tests/install.sh BUILD
set -eu
stage=$PWD/$1/stage
rm -rf "$stage"
make -s install B="$1" DESTDIR="$stage" PREFIX=/usr
export PKG_CONFIG_PATH=$stage/usr/lib/pkgconfig PKG_CONFIG_SYSROOT_DIR=$stage
flags="-Wall -Wextra -Werror"
cc $flags examples/embed.c -o "$stage/embed" -pthread $(pkg-config --cflags --libs fulmartack)
version=$(LD_LIBRARY_PATH=$stage/usr/lib "$stage/embed")
[ "$version" = "fulmartack $(pkg-config --modversion fulmartack)" ]
# Static: only libfulmartack is taken from its archive, its dependencies stay
# shared.
needed=$(pkg-config --print-requires-private fulmartack)
private=$(sed -n 's/^Libs.private: //p' "$stage/usr/lib/pkgconfig/fulmartack.pc")
unset PKG_CONFIG_SYSROOT_DIR
cc $flags -I"$stage/usr/include" examples/embed.c -o "$stage/embed-static" \
  "$stage/usr/lib/libfulmartack.a" $private $(pkg-config --libs $needed)
[ "$("$stage/embed-static")" = "$version" ]
hidden=$(nm -D --defined-only "$stage/usr/lib/libfulmartack.so" | grep -v ' ftk_' | grep -vc ' A ' || true)
[ "$hidden" -eq 0 ]
"$stage/usr/bin/fulmartackd" --check "$stage/usr/share/doc/fulmartack/examples/entry.json"
for t in kandy kapurbumi; do
  "$stage/usr/bin/fulmartackctl" config check "$stage/usr/share/doc/fulmartack/examples/$t.json"
done
for m in "$stage"/usr/share/man/man?/*; do
  if command -v groff >/dev/null; then
    [ -z "$(groff -man -Tutf8 -ww "$m" 2>&1 >/dev/null)" ]
  fi
done
echo "pass install, $version"
