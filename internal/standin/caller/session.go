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

// SessionOptions say what a session does.
type SessionOptions struct {
	Request RequestOptions
	// Requests is the number of requests; 0 sends until the session ends.
	Requests int
	// Concurrency is the number of requests in progress at once.
	Concurrency int
	// Rate is the number of requests a second; 0 is without limit.
	Rate float64
	// Feeds are held until the session ends. The first IdleFeeds of them have no messages.
	Feeds     int
	IdleFeeds int
	// Interval is the interval of a feed's messages.
	FeedInterval time.Duration
}

// Session is one run of a caller.
type Session struct {
	caller  *Caller
	options SessionOptions

	mu          sync.Mutex
	feeds       []*Feed
	feedsOpened bool
}

// openParallel bounds the handshakes at once while feeds open.
const maxConcurrentOpens = 16

// NewSession returns a session of the caller.
func NewSession(c *Caller, options SessionOptions) *Session {
	return &Session{caller: c, options: options}
}

// Run opens the feeds and sends the requests. It returns when all requests are
// done and, if there are feeds or no number of requests, when ctx ends. What is
// in progress at the end of ctx is completed.
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

// Wake exchanges an echo on every feed, also on the idle ones.
func (s *Session) EchoAll() {
	s.forEachFeed(func(f *Feed) {
		if !f.isReadDone() {
			f.Echo()
		}
	})
}

func (s *Session) finishFeeds() { s.forEachFeed((*Feed).Finish) }

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

// Ready reports whether all feeds were opened.
func (s *Session) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feedsOpened
}

// Progress is the report of a session that runs.
type Progress struct {
	Report
	Ready bool `json:"ready"`
}

// Handler serves the session to tests.
//
//	GET  /test/report   Progress
//	POST /test/wake     echo on every feed, answers when all came back or failed
func (s *Session) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /test/report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A client that went away is no fault of the server.
		_ = json.NewEncoder(w).Encode(Progress{Report: s.caller.Report(), Ready: s.Ready()})
	})
	mux.HandleFunc("POST /test/wake", func(http.ResponseWriter, *http.Request) { s.EchoAll() })
	return mux
}
