//go:build review

package stand2

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/kumquatworks/kumquatworks/platform/standin"
)

// Heartbeat is heartbeat-ms of the site cs-brokerhub.
const Heartbeat = 770 * time.Millisecond

// Entries are the entries below servers/, as the store keeps them: one changes only when more than its seq changes, and
// is removed after three heartbeat intervals in which nobody wrote it.
type Entries struct {
	store  *standin.Store
	record *Record

	mu      sync.Mutex
	values  map[string]string
	written map[string]time.Time
	stop    chan struct{}
	wait    sync.WaitGroup
}

// NewEntries returns the entries of a store and begins to remove silent ones.
func NewEntries(store *standin.Store, record *Record) *Entries {
	e := &Entries{store: store, record: record, values: make(map[string]string), written: make(map[string]time.Time), stop: make(chan struct{})}
	e.wait.Go(func() {
		for e.pause(20 * time.Millisecond) {
			e.removeSilent()
		}
	})
	return e
}

// pause waits and reports false when the entries are closed.
func (e *Entries) pause(d time.Duration) bool {
	select {
	case <-e.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (e *Entries) removeSilent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, at := range e.written {
		if time.Since(at) > 3*Heartbeat {
			delete(e.written, key)
			delete(e.values, key)
			e.store.Remove(key)
			e.record.Line("store: %s is removed after three heartbeat intervals of silence", key)
		}
	}
}

// write writes an entry. A heartbeat alone does not change it.
func (e *Entries) write(key, value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.written[key] = time.Now()
	if e.values[key] == value {
		return
	}
	e.values[key] = value
	e.store.Put(key, value)
}

// Announce writes an entry now and at each heartbeat, until the returned function is called. A string is written as it
// is, any other value as JSON.
func (e *Entries) Announce(key string, value any) (end func()) {
	text, raw := value.(string)
	if !raw {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err) // the cases pass only values that can be encoded
		}
		text = string(data)
	}
	ended := make(chan struct{})
	e.write(key, text)
	e.wait.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-e.stop:
				return
			case <-time.After(Heartbeat):
				e.write(key, text)
			}
		}
	})
	return sync.OnceFunc(func() { close(ended) })
}

// Close ends all writers.
func (e *Entries) Close() {
	close(e.stop)
	e.wait.Wait()
}
