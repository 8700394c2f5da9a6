package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// SessionOptions are the parameters of a session.
type SessionOptions struct {
	Request RequestOptions
	// Requests is the number of requests; 0 sends requests until the session ends.
	Requests int
	// Concurrency limits the requests in flight. 0 means 1 if Requests is set, and no requests otherwise.
	Concurrency int
	// Rate limits the requests per second; 0 means no limit.
	Rate float64
	// Feeds is the number of feeds, which stay open until the session ends. The first
	// IdleFeeds of them have no messages.
	Feeds     int
	IdleFeeds int
	// FeedInterval is the interval between the messages of a feed.
	FeedInterval time.Duration
}

// Session is one run of a caller with a given load.
type Session struct {
	caller  *Caller
	options SessionOptions

	mu          sync.Mutex
	feeds       []*Feed
	feedsOpened bool
}

// maxConcurrentOpens limits the concurrent handshakes while the feeds are opened.
const maxConcurrentOpens = 16

// NewSession returns a session of the caller. Run starts it.
func NewSession(c *Caller, options SessionOptions) *Session {
	return &Session{caller: c, options: options}
}

// Run opens the feeds and sends the requests. It returns when all requests have
// completed; if there are feeds or the number of requests is unlimited, it also
// waits for the end of ctx. Requests in flight and feeds at the end of ctx are
// completed first.
func (s *Session) Run(ctx context.Context) Report {
	s.openFeeds(ctx)
	s.sendRequests(ctx)
	if s.options.Feeds > 0 {
		<-ctx.Done()
	}
	s.finishFeeds()
	return s.caller.Report()
}

func (s *Session) openFeeds(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentOpens)
	for i := range s.options.Feeds {
		interval := s.options.FeedInterval
		if i < s.options.IdleFeeds {
			interval = 0
		}
		group.Go(func() error {
			feed := s.caller.OpenFeed(context.WithoutCancel(ctx), interval)
			s.mu.Lock()
			defer s.mu.Unlock()
			if feed != nil {
				s.feeds = append(s.feeds, feed)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	s.mu.Lock()
	s.feedsOpened = true
	s.mu.Unlock()
}

// sendRequests sends the requests until their number is reached or ctx ends.
func (s *Session) sendRequests(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Inf, 1)
	if s.options.Rate > 0 {
		limiter = rate.NewLimiter(rate.Limit(s.options.Rate), 1)
	}
	var group errgroup.Group
	group.SetLimit(max(1, s.options.Concurrency))
	unlimited := s.options.Requests == 0 && s.options.Concurrency > 0
	for i := 0; unlimited || i < s.options.Requests; i++ {
		if limiter.Wait(ctx) != nil {
			break
		}
		group.Go(func() error {
			s.caller.Request(context.WithoutCancel(ctx), s.options.Request)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

// EchoAll exchanges an echo on every feed that has not ended, including idle feeds.
func (s *Session) EchoAll() {
	s.forEachFeed(func(f *Feed) {
		if !f.isReadDone() {
			f.Echo()
		}
	})
}

func (s *Session) finishFeeds() { s.forEachFeed((*Feed).Finish) }

// forEachFeed runs the action on all feeds concurrently and waits for it.
func (s *Session) forEachFeed(action func(*Feed)) {
	s.mu.Lock()
	feeds := s.feeds
	s.mu.Unlock()
	var group sync.WaitGroup
	for _, f := range feeds {
		group.Go(func() { action(f) })
	}
	group.Wait()
}

// Ready reports whether the session has tried to open all feeds.
func (s *Session) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feedsOpened
}

// Progress is the report of a running session.
type Progress struct {
	Report
	Ready bool `json:"ready"`
}

// Handler returns the HTTP handler through which tests observe and control the session.
//
//	GET  /test/report   returns Progress
//	POST /test/wake     exchanges an echo on every feed; responds when all have returned or failed
func (s *Session) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /test/report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write error only means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(Progress{Report: s.caller.Report(), Ready: s.Ready()})
	})
	mux.HandleFunc("POST /test/wake", func(http.ResponseWriter, *http.Request) { s.EchoAll() })
	return mux
}
