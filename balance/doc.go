// Package balance makes the decisions of a client-side load balancer: which
// server gets an attempt, when a failed attempt is retried, and when a request
// is shed. It follows GEP-3388's windowed retry budget; docs/design/balance.md
// has the reasons and the table of files.
//
// A Balancer does no I/O, has no clock and starts no goroutine. Its caller
// reports each event with the time at which it happened and carries out the
// returned actions in order. The same events and seed give the same actions.
package balance
