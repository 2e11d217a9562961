// Package exchange implements the message layer of CoAP and the matching of
// requests and responses (RFC 7252, sections 4, 5.2 and 5.3): retransmission of confirmable
// messages, deduplication, and matching by endpoint, token and message ID. Server is the
// endpoint that receives requests, Client the one that sends them.
//
// The package does no I/O, reads no clock and starts no goroutines. The caller passes in
// messages and the current time, which must never decrease, performs the returned actions
// in order, and calls Tick at the time that Next returns. Methods append their actions to
// the slice that the caller passes. Client and Server are not safe for concurrent use.
package exchange
