// Package scenario runs the whole system as separate processes on loopback: the
// platform, the fabric, balancers, targets and callers. It has only tests.
package scenario
