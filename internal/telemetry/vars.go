package telemetry

import (
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// varsReadHeaderTimeout limits how long a slow client may take to send its request headers.
const varsReadHeaderTimeout = 5 * time.Second

// ServeVars serves the expvar variables at /debug/vars until stop is called.
func ServeVars(address netip.AddrPort) (stop func(), err error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: varsReadHeaderTimeout}
	go func() { _ = server.Serve(listener) }() // returns ErrServerClosed after stop
	return func() { _ = server.Close() }, nil
}
