package coapserver

import (
	"crypto/rand"
	"net"
	"net/netip"
	"time"

	"otterspring/balance"
	"otterspring/internal/coap/block"
	"otterspring/internal/coap/client"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/server"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/sidecar/operatorconfig"
)

const (
	// blockTransferIdle is the idle timeout of a block-wise transfer. It equals
	// MAX_TRANSMIT_WAIT, the time during which the client may still retransmit a block (RFC
	// 7252, section 4.8.2).
	blockTransferIdle = 93 * time.Second
	// blockSize is the payload size of a block in bytes.
	blockSize = 1024
	// echoLifetime is how long an Echo value that this server has issued stays fresh.
	echoLifetime = 10 * time.Minute
	// upstreamEchoLifetime is how long an Echo value from an upstream is reused. It is
	// shorter than the time for which servers accept a value, since a request with a stale
	// value fails.
	upstreamEchoLifetime = 10 * time.Second
	// maxUpstreamRequests bounds the requests in flight on one socket to an upstream.
	maxUpstreamRequests = 1024
	echoKeyBytes        = 32
	// ackDelayDivisor is the ratio of ACK_TIMEOUT to the delay after which a request without
	// a response is acknowledged by an empty message.
	ackDelayDivisor = 4
	// serverSeedMask and upstreamSeedMask are combined with the configured seed, so that the
	// server and the clients for upstreams have different seeds and message IDs.
	serverSeedMask   = 0x636f6170
	upstreamSeedMask = 0x636c6e74
)

// Settings configure a Server.
type Settings struct {
	Listen   string // unicast IP address and port
	Protocol server.Settings
	Bodies   *dispatch.BodyBudget // memory budget of request bodies, shared with other servers
	// StatePath is the file in which a process saves its state for the next process. If
	// StatePath is empty, no state is saved. Otherwise the content of the file determines
	// Protocol.HistoryKnown.
	StatePath string
	// Conn is the socket of a predecessor. If Conn is nil, Listen opens a new socket. Nothing
	// is received on Conn before TakeOver or PredecessorEnded.
	Conn *net.UDPConn
}

// UpstreamSettings returns the settings of clients for upstreams over CoAP.
func UpstreamSettings(operator *operatorconfig.CoAP, seed uint64) client.Settings {
	params := exchange.DefaultParams()
	params.AckTimeout = operator.AckTimeout
	params.AckDelay = params.AckTimeout / ackDelayDivisor
	return client.Settings{
		Params: params, Limits: exchange.ClientLimits{MaxInFlight: maxUpstreamRequests, MaxDedupEntries: maxUpstreamRequests}, MaxBodySize: dispatch.MaxBodySize,
		BlockSize: blockSize, EchoLifetime: upstreamEchoLifetime, Seed: seed ^ upstreamSeedMask,
	}
}

// SettingsFromOperator returns the settings for the operator's configuration and the classes
// of the platform. maxDeadlineRatio bounds the deadline of a request as a multiple of the
// deadline of its class.
func SettingsFromOperator(operator *operatorconfig.CoAP, classes []balance.Class, maxDeadlineRatio float64, seed uint64, bodies *dispatch.BodyBudget) Settings {
	key := make([]byte, echoKeyBytes)
	rand.Read(key) // never fails
	idempotency := map[balance.Idempotency]server.Idempotency{balance.Idempotent: server.Idempotent, balance.IdempotentWithKey: server.IdempotentWithKey, balance.NonIdempotent: server.NonIdempotent}
	protocolClasses := map[string]server.Class{}
	for _, class := range classes {
		protocolClasses[class.Name] = server.Class{Idempotency: idempotency[class.Idempotency], Deadline: class.Deadline}
	}
	var trusted []netip.Prefix
	for _, network := range operator.TrustedNetworks {
		trusted = append(trusted, network.Prefix)
	}
	return Settings{Listen: operator.Listen, Bodies: bodies, StatePath: operator.StatePath, Protocol: server.Settings{
		Params: exchange.DefaultParams(),
		Limits: exchange.ServerLimits{
			MaxPendingRequests: operator.MaxPendingRequests, MaxDedupEntries: operator.MaxDedupEntries, MaxDedupBytes: int(operator.MaxDedupBytes),
			MaxCompletedUnsafe: operator.MaxCompletedUnsafe,
		},
		Blocks: block.Limits{
			MaxTransfers: operator.MaxTransfers, MaxBodySize: dispatch.MaxBodySize, MaxTotalSize: int(operator.MaxTransferBytes),
			IdleTimeout: blockTransferIdle, MaxBlockSize: blockSize,
		},
		Classes: protocolClasses, MaxDeadlineRatio: maxDeadlineRatio, MaxObservers: operator.MaxObservers, ObserveInterval: operator.ObserveInterval,
		TrustedNetworks: trusted, HistoryKnown: operator.FirstRun, EchoKey: key, EchoLifetime: echoLifetime, Seed: seed ^ serverSeedMask,
	}}
}
