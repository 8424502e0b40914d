# The two commands of the README: `make demo` and `make test`.

BUILD = build
PACKAGES = $(shell cat .ci/packages)
C_FILES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' | \
	grep -v '^generated/')

.PHONY: all packages build test demo check-format check-lint format clean \
	unit sanitize replay

all: build

# Installs what is missing; does nothing where all packages are there.
packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { \
		export DEBIAN_FRONTEND=noninteractive; \
		apt-get update -q >/dev/null && \
		apt-get install -q -y --no-install-recommends $(PACKAGES) \
			>/dev/null; }

$(BUILD)/build.ninja: | packages
	meson setup $(BUILD) --buildtype=debugoptimized

build: packages $(BUILD)/build.ninja
	ninja -C $(BUILD)

format:
	clang-format -i $(C_FILES)

check-format: packages
	clang-format --dry-run --Werror $(C_FILES)

check-lint: build
	bench/lint.sh $(BUILD)

unit: build
	meson test -C $(BUILD) --print-errorlogs

sanitize: packages
	bench/sanitize.sh address,undefined build-asan
	bench/sanitize.sh thread build-tsan

test: build check-format
	$(MAKE) check-lint
	$(MAKE) unit
	$(MAKE) sanitize
	bench/test-summary.sh

demo: build
	bench/demo.sh $(BUILD)

clean:
	rm -rf build build-asan build-tsan
