# Entry points: make demo, make check, make bench, make format.
BUILD ?= build
PACKAGES = build-essential cmake ninja-build pkg-config clang-format cppcheck libh2o-dev \
  libuv1-dev libtirpc-dev libjson-glib-dev libglib2.0-dev libssl-dev libgtest-dev \
  libcurl4-openssl-dev libhttp-parser-dev
SOURCES = $(filter-out src/wire.h src/wire_xdr.c src/peer.h src/peer_xdr.c, \
  $(wildcard src/*.[ch] platform/*.[ch] tools/*.[ch] bench/*.c)) \
  $(wildcard tests/*.cc tests/*.h)
JOBS ?= 6

.PHONY: all packages build build-asan check demo bench format lint

all: build

packages:
	@for p in $(PACKAGES); do dpkg -s $$p >/dev/null 2>&1 || missing="$$missing $$p"; done; \
	if [ -n "$$missing" ]; then apt-get update -qq && \
	  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $$missing >/dev/null; fi

build: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@ninja -C $(BUILD)

build-asan: packages
	@cmake -S . -B build-asan -G Ninja -DSANITIZE=ON -DCMAKE_BUILD_TYPE=Debug >/dev/null
	@ninja -C build-asan

lint: packages
	clang-format --dry-run --Werror $(SOURCES)
	cppcheck --quiet --error-exitcode=1 --enable=warning,portability --inline-suppr \
	  --suppress=missingIncludeSystem --suppress=memleak:tools/* --library=posix --library=gtk -Isrc -Iplatform \
	  $(filter-out src/wire_xdr.c src/peer_xdr.c,$(wildcard src/*.c platform/*.c tools/*.c))

format:
	clang-format -i $(SOURCES)

check: build build-asan lint
	tests/run.sh build
	tests/run.sh build-asan

demo: build
	tools/demo.sh

bench: build
	bench/run.sh
