package follower

import (
	"cmp"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Config holds the parameters of a Follower. Unset parameters get defaults.
type Config struct {
	VM         string
	Place      string
	RandomSeed uint64
	// Validate returns an error if a snapshot with a matching digest cannot be put in
	// force. A nil Validate accepts every snapshot.
	Validate func(objects.Set) error

	// ReadersPerPlace is the number of balancers in each place that read and watch
	// the platform.
	ReadersPerPlace int
	// HeadReadInterval is the time between two reads of the head, in addition to the
	// watch.
	HeadReadInterval time.Duration
	// VMListInterval is the minimum time between two reads of the VM list by a reader.
	VMListInterval time.Duration
	// VMListIntervalPerEntry is the minimum time between two reads per list entry. It
	// stretches the interval for long lists.
	VMListIntervalPerEntry time.Duration
	// MinBackoff and MaxBackoff limit the exponential backoff after a platform failure.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ReadTimeout, LoadTimeout, FetchTimeout and WatchTimeout are the times after
	// which a command without a result counts as failed.
	ReadTimeout  time.Duration
	LoadTimeout  time.Duration
	FetchTimeout time.Duration
	WatchTimeout time.Duration
	// FetchRetryInterval is the time to wait after a fetch that failed at every known
	// peer, and between two snapshot loads from the platform.
	FetchRetryInterval time.Duration
}

const (
	defaultReadersPerPlace  = 2
	defaultHeadReadInterval = 10 * time.Second
	defaultVMListInterval   = 5 * time.Second
	// A list entry takes about 150 bytes, so a reader of a long list reads 1 KB/s.
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
