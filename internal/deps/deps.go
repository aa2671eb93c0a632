// Package deps keeps the declared libraries in go.mod until the packages that use them have landed.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/gin-gonic/gin"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "go.uber.org/fx"
	_ "go.uber.org/fx/fxtest"
	_ "golang.org/x/sync/errgroup"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
