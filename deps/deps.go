//go:build deps

// Package deps pins the module's libraries while the packages that use them are being written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/gorilla/mux"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/sebdah/goldie/v2"
	_ "go.uber.org/fx"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
