# Makefile -- builds and installs fulmartack, runs its checks, demo and benches.

CC = gcc
CFLAGS = -O2 -g
B = build
PREFIX = /usr/local
DESTDIR =
VERSION := $(shell sed -n 's/^\#define FTK_VERSION "\(.*\)"/\1/p' include/fulmartack.h)
SO_VERSION = 0
PACKAGES = talloc tevent msgpack libmicrohttpd libcurl log4c glib-2.0 \
  jansson libsodium

DEPS_CFLAGS := $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
DEPS_LIBS := $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -lm
ALL_CFLAGS = -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Werror -fPIC -I. -Iinclude -pthread \
  $(DEPS_CFLAGS) $(CFLAGS) $(SANITIZE)

LIB_SRC := $(sort $(wildcard port/*.c core/*.c core/*/*.c platform/*.c adapter/*.c))
CTL_SRC := $(sort $(wildcard ctl/*.c))
TEST_SRC := $(sort $(wildcard tests/test_*.c))
TEST_COMMON_SRC := $(filter-out $(TEST_SRC),$(sort $(wildcard tests/*.c)))
BENCH_SRC := $(sort $(wildcard bench/bench_*.c))
STANDIN_SRC := $(filter-out tests/standin/server.c,$(sort $(wildcard tests/standin/*.c)))
C_FILES := $(sort $(wildcard include/*.h port/*.[ch] core/*.[ch] core/*/*.[ch] platform/*.[ch] \
  adapter/*.[ch] daemon/*.[ch] ctl/*.[ch] tests/*.[ch] tests/standin/*.[ch] \
  bench/*.[ch] examples/*.[ch]))

LIB = $(B)/libfulmartack.a
SO_NAME = libfulmartack.so.$(SO_VERSION)
SO = $(B)/libfulmartack.so.$(VERSION)
LIB_OBJ = $(LIB_SRC:%.c=$(B)/%.o)
TESTS = $(TEST_SRC:tests/%.c=$(B)/%)
BENCHES = $(BENCH_SRC:bench/%.c=$(B)/%)
STANDINS = $(STANDIN_SRC:tests/standin/%.c=$(B)/standin_%)
PROGRAMS = $(B)/fulmartackd $(B)/fulmartackctl

.PHONY: proof all deps demo check test soak model lint format format-check bench clean \
  install check-install update-expected record-traces sanitized
.SECONDARY:

all: $(LIB) $(SO) $(PROGRAMS) $(STANDINS) $(TESTS) $(BENCHES)

deps:
	@pkg-config --exists $(PACKAGES) \
	  && command -v clang-format clang-tidy cppcheck curl spin >/dev/null \
	  || { apt-get update -qq && DEBIAN_FRONTEND=noninteractive \
	       apt-get install -y -qq $$(cat packages.txt) >/dev/null; }

$(B)/%.o: %.c Makefile
	@mkdir -p $(@D)
	@$(CC) $(ALL_CFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

# The shared library exports the public functions only.
$(SO): $(LIB_OBJ) contrib/libfulmartack.map
	@$(CC) $(ALL_CFLAGS) -shared -Wl,-soname,$(SO_NAME) \
	  -Wl,--version-script=contrib/libfulmartack.map $(LIB_OBJ) -o $@ $(DEPS_LIBS)

$(B)/fulmartackd: $(B)/daemon/fulmartackd.o $(LIB)
	@$(CC) $(ALL_CFLAGS) $^ -o $@ $(DEPS_LIBS)

$(B)/fulmartackctl: $(CTL_SRC:%.c=$(B)/%.o) $(LIB)
	@$(CC) $(ALL_CFLAGS) $^ -o $@ $(DEPS_LIBS)

$(B)/standin_%: $(B)/tests/standin/%.o $(B)/tests/standin/server.o
	@$(CC) $(ALL_CFLAGS) $^ -o $@ $(DEPS_LIBS)

$(B)/test_%: $(B)/tests/test_%.o $(TEST_COMMON_SRC:%.c=$(B)/%.o) $(LIB)
	@$(CC) $(ALL_CFLAGS) $^ -o $@ $(DEPS_LIBS)

$(B)/bench_%: $(B)/bench/bench_%.o $(TEST_COMMON_SRC:%.c=$(B)/%.o) $(LIB)
	@$(CC) $(ALL_CFLAGS) $^ -o $@ $(DEPS_LIBS)

-include $(shell find $(B) -name '*.d' 2>/dev/null)

demo: deps
	@$(MAKE) -s all
	@tests/demo.sh $(B)

# All checks, the cheapest first.
check: deps format-check
	$(MAKE) -j8 all
	$(MAKE) lint
	$(MAKE) test
	$(MAKE) soak
	$(MAKE) model
	$(MAKE) check-install
	$(MAKE) sanitized
	@tests/summary.sh

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/include \
	  $(DESTDIR)$(PREFIX)/lib/pkgconfig $(DESTDIR)$(PREFIX)/lib/systemd/system \
	  $(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/share/man/man8 \
	  $(DESTDIR)$(PREFIX)/share/doc/fulmartack/examples
	install -m 755 $(PROGRAMS) $(DESTDIR)$(PREFIX)/bin
	install -m 644 include/fulmartack.h $(DESTDIR)$(PREFIX)/include
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 755 $(SO) $(DESTDIR)$(PREFIX)/lib
	ln -sf $(notdir $(SO)) $(DESTDIR)$(PREFIX)/lib/$(SO_NAME)
	ln -sf $(SO_NAME) $(DESTDIR)$(PREFIX)/lib/libfulmartack.so
	sed 's|@PREFIX@|$(PREFIX)|; s|@VERSION@|$(VERSION)|; s|@PACKAGES@|$(PACKAGES)|' \
	  contrib/fulmartack.pc.in > $(DESTDIR)$(PREFIX)/lib/pkgconfig/fulmartack.pc
	sed 's|/usr/local|$(PREFIX)|' contrib/fulmartackd.service \
	  > $(DESTDIR)$(PREFIX)/lib/systemd/system/fulmartackd.service
	install -m 644 man/fulmartackctl.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/fulmartackd.8 $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 644 examples/* $(DESTDIR)$(PREFIX)/share/doc/fulmartack/examples

# Installs to a folder of the build and checks what was installed.
check-install: all
	@tests/install.sh $(B)

test: all
	@tests/run.sh $(B)

# Plays SEEDS seeds of stops and faults with real processes.
SEEDS = 3
soak: all
	@tests/soak.sh $(B) $(SEEDS)

# Checks the model of ownership, whole and without each of its mechanisms.
model:
	@tests/models/check.sh $(B)/models

# Runs the tests built with ASan and UBSan, then built with TSan.
sanitized:
	$(MAKE) -j8 B=build/asan CFLAGS="-O1 -g" \
	  SANITIZE="-fsanitize=address,undefined -fno-sanitize-recover=all" all
	@tests/run.sh build/asan
	$(MAKE) -j8 B=build/tsan CFLAGS="-O1 -g" SANITIZE="-fsanitize=thread" all
	@tests/run.sh build/tsan

# Writes the expected output of the scripted tests anew.
update-expected: all
	FTK_WRITE_EXPECTED=1 $(B)/test_scripts -q
	FTK_WRITE_EXPECTED=1 $(B)/test_findings -q
	FTK_WRITE_EXPECTED=1 $(B)/test_ctl -q
	FTK_WRITE_EXPECTED=1 $(B)/test_cell -q
	FTK_WRITE_EXPECTED=1 $(B)/test_load -q

# Records both users' example runs anew and writes their expected outcomes.
# Needed when the core's decisions change.
record-traces: all
	@tests/record.sh $(B) tests/traces
	@FTK_WRITE_EXPECTED=1 $(B)/test_replay -q

format:
	@clang-format -i $(C_FILES)

format-check:
	@clang-format --dry-run --Werror $(C_FILES)

lint:
	@tests/names.sh
	@cppcheck -q --enable=warning,portability,performance \
	  --inline-suppr --library=gtk --library=cppcheck.cfg --suppress=missingInclude --error-exitcode=1 \
	  -j 8 -I. -Iinclude port core platform adapter daemon ctl tests bench
	@printf '%s\n' $(LIB_SRC) $(CTL_SRC) daemon/fulmartackd.c \
	  | xargs -P 10 -I{} clang-tidy --quiet {} -- -std=gnu11 -D_GNU_SOURCE -I. \
	    -Iinclude $(DEPS_CFLAGS) 2>/dev/null

# Runs the tests that tests/proof.list names for each point of the brief.
proof: all
	@tests/proof.sh $(B)

bench: all
	@bench/run.sh $(B)

clean:
	rm -rf build
