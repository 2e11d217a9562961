// Package exchange implements the message layer of CoAP and its matching of requests
// and responses (RFC 7252, sections 4, 5.2 and 5.3): retransmission of confirmable
// messages, deduplication, and matching by endpoint, token and message ID. Server is the
// endpoint that receives requests, Client the one that sends them.
//
// The package does no I/O, has no clock and starts no goroutine. The caller passes
// messages and the time, which must not go back, and performs the returned actions in
// their order; Next says when Tick is due. Client and Server are not safe for concurrent
// use: each belongs to one caller at a time. Actions are appended to the slice that the
// caller passes.
package exchange
