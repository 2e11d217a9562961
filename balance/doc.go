// Package balance implements the decisions of a client-side load balancer: which server receives an attempt, when a
// failed attempt is retried, and when a request is shed. Retries are limited by the windowed retry budget of
// GEP-3388. docs/design/balance.md explains the design and lists the files.
//
// A Balancer does no I/O, reads no clock and starts no goroutine. Its caller reports each event together with the
// time at which it occurred, and executes the returned actions in order. The same events and seed give the same
// actions.
package balance
