# Checks and measurements. Both need Go only.

# Version of the tool that compares two saved runs.
BENCHSTAT := golang.org/x/perf/cmd/benchstat@v0.0.0-20250813145418-2f7363a06fe1
RESULTS := bench/results
# Packages and benchmarks to run, as in: make bench PACKAGES=./placement NAME=Place
PACKAGES := ./...
NAME := .
# Empty to run the large sizes of package bench too.
SHORT := -short

.PHONY: ci bench

ci:
	bash .ci/run

# Runs the benchmarks once, saves the output in benchstat's format and compares it with the previous
# saved run. One run shows no variance, so benchstat prints no confidence. First the packages without
# daemons run in parallel, then the others one after the other, because processor time is measured.
# Package bench runs its smallest sizes and leaves out the benchmarks of one large size; SHORT= runs
# all. A failed run is kept apart and not compared.
bench:
	@mkdir -p $(RESULTS)
	@previous=$$(ls $(RESULTS)/*.txt 2>/dev/null | tail -1); \
	saved=$(RESULTS)/$$(date -u +%Y%m%dT%H%M%SZ).txt; \
	daemons=$$(go list $(PACKAGES) | grep -E '/(bench|standalone)$$'); \
	others=$$(go list $(PACKAGES) | grep -v -E '/(bench|standalone)$$'); code=0; : > $$saved; \
	if [ -n "$$others" ]; then \
	  go test $(SHORT) -run '^$$' -bench '$(NAME)' -benchtime=1x -timeout 60m $$others >> $$saved 2>&1 || code=1; \
	fi; \
	if [ -n "$$daemons" ]; then \
	  go test -p 1 $(SHORT) -run '^$$' -bench '$(NAME)' -benchtime=1x -timeout 60m $$daemons >> $$saved 2>&1 || code=1; \
	fi; \
	grep -v -e 'no test files' -e 'no tests to run' -e '^{' -e '^[IWEF][0-9]\{4\} ' $$saved > $$saved.part; mv $$saved.part $$saved; \
	cat $$saved; \
	if [ $$code -ne 0 ]; then mv $$saved $$saved.failed; exit $$code; fi; \
	if [ -n "$$previous" ]; then \
	  go run $(BENCHSTAT) $$previous $$saved || diff -u $$previous $$saved || true; \
	fi
