// Package scenario contains end-to-end tests that run the whole system as separate
// processes on loopback addresses: the stand-ins for platform and fabric, balancers,
// targets and callers.
package scenario
