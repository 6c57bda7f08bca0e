# Thin front of the CMake build, for those who expect make and make install.
PREFIX ?= /usr/local
BUILD ?= build-release

all:
	cmake -S . -B $(BUILD) -DCMAKE_INSTALL_PREFIX=$(PREFIX)
	cmake --build $(BUILD) --parallel

install: all
	DESTDIR=$(DESTDIR) cmake --install $(BUILD)

check:
	script/test

clean:
	rm -rf $(BUILD)

.PHONY: all install check clean
