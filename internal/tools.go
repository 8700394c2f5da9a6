//go:build never

package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dchest/siphash"
	_ "github.com/go-kit/log"
	_ "github.com/gopacket/gopacket/layers"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
