package dsr

// Shares of callers at a service whose targets reject requests. The flows of the flow
// table are counted by route and caller address, only while there are any, so the counts are
// bounded by the table. Closed flows count until closedFlowRetention has passed: one
// balancer among 30 rarely has two open flows of one caller.

const (
	// heavyCallerRatio is the number of flows, relative to the average of the callers
	// of a service, above which a caller holds more than its share.
	heavyCallerRatio = 2
	// heavyCallerLimitShare is the share of the limit that is available to openers of a
	// caller that holds more than its share.
	heavyCallerLimitShare = 0.7
)

// callerCounts holds the numbers of flows of a route by caller address.
type callerCounts struct {
	flows map[[4]byte]int
	total int
}

// countCaller adds n flows of the flow's caller to the counts of its route.
func (f *flow) countCaller(n int) {
	c := f.route.usage.callers
	if c == nil {
		return
	}
	c.total += n
	c.flows[f.caller] += n
	if c.flows[f.caller] <= 0 {
		delete(c.flows, f.caller)
	}
}

// holdsMoreThanShare reports whether a caller holds more flows to a service than its
// share.
func (t *routeTable) holdsMoreThanShare(caller [4]byte, service string) bool {
	own, total, callers := 0, 0, 0
	for _, address := range t.byService[service] {
		usage := t.current[address].usage
		if usage.callers == nil {
			continue
		}
		own += usage.callers.flows[caller]
		total += usage.callers.total
		callers += len(usage.callers.flows)
	}
	return own > 1 && float64(own*callers) > heavyCallerRatio*float64(total)
}
