package follower

import (
	"cmp"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Config holds the parameters of a follower.
type Config struct {
	VM         string
	Place      string
	RandomSeed uint64
	// Validate reports why a snapshot whose digest is right cannot be put in force; nil accepts all.
	Validate func(objects.Set) error

	// ReadersPerPlace is the number of balancers in each place that watch the platform.
	ReadersPerPlace int
	// ReadInterval is the time between two reads of the head besides the watch.
	HeadReadInterval time.Duration
	// ListInterval is the time between two reads of the VM list by a reader.
	VMListInterval time.Duration
	// ListIntervalPerVM is the least such time per entry of the list.
	VMListIntervalPerEntry time.Duration
	// BackoffMin and BackoffMax bound the wait after a platform failure.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ReadTimeout, LoadTimeout, FetchTimeout and WatchTimeout are the times after
	// which a command without a result is given up.
	ReadTimeout  time.Duration
	LoadTimeout  time.Duration
	FetchTimeout time.Duration
	WatchTimeout time.Duration
	// RetryInterval is the wait after a fetch that failed at every source.
	FetchRetryInterval time.Duration
}

const (
	defaultReadersPerPlace  = 2
	defaultHeadReadInterval = 10 * time.Second
	defaultVMListInterval   = 5 * time.Second
	// An entry takes about 150 bytes: a reader of a long list reads 1 KB/s.
	defaultVMListIntervalPerEntry = 150 * time.Millisecond
	defaultMinBackoff             = 500 * time.Millisecond
	defaultMaxBackoff             = 10 * time.Second
	defaultReadTimeout            = 2 * time.Second
	defaultLoadTimeout            = 10 * time.Second
	defaultFetchTimeout           = 3 * time.Second
	defaultWatchTimeout           = 30 * time.Second
	defaultFetchRetryInterval     = time.Second
)

func (c *Config) setDefaults() {
	c.ReadersPerPlace = cmp.Or(c.ReadersPerPlace, defaultReadersPerPlace)
	c.HeadReadInterval = cmp.Or(c.HeadReadInterval, defaultHeadReadInterval)
	c.VMListInterval = cmp.Or(c.VMListInterval, defaultVMListInterval)
	c.VMListIntervalPerEntry = cmp.Or(c.VMListIntervalPerEntry, defaultVMListIntervalPerEntry)
	c.MinBackoff = cmp.Or(c.MinBackoff, defaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, defaultMaxBackoff)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, defaultReadTimeout)
	c.LoadTimeout = cmp.Or(c.LoadTimeout, defaultLoadTimeout)
	c.FetchTimeout = cmp.Or(c.FetchTimeout, defaultFetchTimeout)
	c.WatchTimeout = cmp.Or(c.WatchTimeout, defaultWatchTimeout)
	c.FetchRetryInterval = cmp.Or(c.FetchRetryInterval, defaultFetchRetryInterval)
}
