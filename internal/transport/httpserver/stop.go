// Package httpserver stops the HTTP servers of a balancer.
package httpserver

import (
	"context"
	"net/http"
	"time"
)

// Stop makes a server accept no further requests and waits for the answers to the others.
// Requests that are left after the timeout get no answer.
func Stop(server *http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // the process exits
	}
}
