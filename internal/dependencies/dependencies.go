// Package dependencies keeps the modules that the first subsystems are built
// on in go.mod while those are written. It goes once all of them are imported.
package dependencies

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alexflint/go-arg"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/danielgtaylor/huma/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/matryer/is"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/samber/do/v2"
	_ "github.com/samber/lo"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "pgregory.net/rapid"
)
