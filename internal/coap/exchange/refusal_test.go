package exchange

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"otterspring/internal/coap/message"
)

// datagramOf returns the datagram of a request in flight.
func (sim *simulation) datagramOf(handle uint64) []byte {
	return slices.Clone(sim.client.byHandle[handle].transmission.datagram)
}

// reply returns a message of the server about a request in flight.
func (sim *simulation) reply(handle uint64, code message.Code) *message.Message {
	request := sim.client.byHandle[handle]
	m := &message.Message{Type: message.Acknowledgement, Code: code, ID: request.messageID}
	if code != message.Empty {
		m.Token = request.request.Token
	}
	return m
}

// failureOf returns the reason why a request has failed. It returns false if the request has
// not failed.
func (sim *simulation) failureOf(handle uint64) (FailureReason, bool) {
	e := sim.outcomes[handle]
	if len(e) != 1 || e[0].Kind != Failed {
		return 0, false
	}
	return e[0].Reason, true
}

// threeInFlight returns a simulation of a crashed server: it has not responded to the requests
// 1 to 3, and datagrams are lost.
func threeInFlight(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulation(t, 5)
	sim.singleTransmission = true
	sim.drop = func(int) bool { return true }
	for h := uint64(1); h <= 3; h++ {
		sim.request(h, message.Confirmable)
	}
	return sim
}

// Guards against a refusal that is taken as proof about another datagram than the one it
// quotes, which would execute requests twice. The quoted request fails at once. Requests that
// were sent before it wait for what is on its way and then fail as possibly processed.
// Requests that were sent after it are not affected.
func TestRefusalConcernsTheQuotedDatagram(t *testing.T) {
	const alive = FailureReason(-1)
	quote := func(handle uint64) func(*simulation) []byte {
		return func(sim *simulation) []byte { return sim.datagramOf(handle) }
	}
	for name, c := range map[string]struct {
		quoted    func(sim *simulation) []byte
		atOnce    [3]FailureReason // of the requests 1 to 3
		afterward [3]FailureReason // after lossGrace
	}{
		"first request":  {quote(1), [3]FailureReason{Unreachable, alive, alive}, [3]FailureReason{Unreachable, alive, alive}},
		"second request": {quote(2), [3]FailureReason{alive, Unreachable, alive}, [3]FailureReason{PeerLost, Unreachable, alive}},
		"last request":   {quote(3), [3]FailureReason{alive, alive, Unreachable}, [3]FailureReason{PeerLost, PeerLost, Unreachable}},
		"header and token": {func(sim *simulation) []byte { return sim.datagramOf(2)[:12] },
			[3]FailureReason{alive, Unreachable, alive}, [3]FailureReason{PeerLost, Unreachable, alive}},
		"zeros after the datagram": {func(sim *simulation) []byte { return append(sim.datagramOf(3), make([]byte, 100)...) },
			[3]FailureReason{alive, alive, Unreachable}, [3]FailureReason{PeerLost, PeerLost, Unreachable}},
		"nothing quoted":   {func(*simulation) []byte { return nil }, [3]FailureReason{alive, alive, alive}, [3]FailureReason{PeerLost, PeerLost, PeerLost}},
		"incomplete token": {func(sim *simulation) []byte { return sim.datagramOf(3)[:11] }, [3]FailureReason{alive, alive, alive}, [3]FailureReason{PeerLost, PeerLost, PeerLost}},
		"another token": {func(sim *simulation) []byte {
			datagram := sim.datagramOf(3)
			datagram[11]++
			return datagram
		}, [3]FailureReason{alive, alive, alive}, [3]FailureReason{PeerLost, PeerLost, PeerLost}},
		"message ID of another request": {func(sim *simulation) []byte {
			return append(sim.datagramOf(3)[:4], sim.datagramOf(2)[4:]...)
		}, [3]FailureReason{alive, alive, alive}, [3]FailureReason{PeerLost, PeerLost, PeerLost}},
		"acknowledgement with the message ID of a request": {func(sim *simulation) []byte {
			return append(emptyMessage(message.Acknowledgement, sim.client.byHandle[3].messageID), sim.datagramOf(3)[4:]...)
		}, [3]FailureReason{alive, alive, alive}, [3]FailureReason{PeerLost, PeerLost, PeerLost}},
	} {
		t.Run(name, func(t *testing.T) {
			sim := threeInFlight(t)
			check := func(when string, want [3]FailureReason) {
				t.Helper()
				for i, reason := range want {
					got, failed := sim.failureOf(uint64(i + 1))
					if failed != (reason != alive) || failed && got != reason {
						t.Errorf("%s: request %d failed: %t, %v, want %v", when, i+1, failed, got, reason)
					}
				}
			}
			sim.perform(sim.client.PeerUnreachable(sim.now, serverAddr, c.quoted(sim), nil), true)
			check("at once", c.atOnce)
			sim.run(lossGrace - 1)
			check("before the end of the grace", c.atOnce)
			sim.run(1)
			check("after the grace", c.afterward)
		})
	}
}

// Checks that what was on its way when a later request was refused still counts: a response,
// an acknowledgement, or a refusal that the network has reordered.
func TestWhatArrivesWithinTheGraceCounts(t *testing.T) {
	refuseLast := func(t *testing.T) *simulation {
		t.Helper()
		sim := threeInFlight(t)
		sim.perform(sim.client.PeerUnreachable(sim.now, serverAddr, sim.datagramOf(3), nil), true)
		sim.run(lossGrace / 2)
		return sim
	}
	sim := refuseLast(t)
	sim.perform(sim.client.Receive(sim.now, serverAddr, sim.reply(1, message.Changed), nil), true)
	if e := sim.outcomes[1]; len(e) != 1 || e[0].Kind != Response {
		t.Errorf("response within the grace: %+v, want the response", e)
	}
	sim = refuseLast(t)
	sim.perform(sim.client.Receive(sim.now, serverAddr, sim.reply(1, message.Empty), nil), true)
	sim.run(time.Second)
	if e := sim.outcomes[1]; len(e) != 0 {
		t.Errorf("acknowledged within the grace: %+v, want no end of the request", e)
	}
	sim = refuseLast(t)
	sim.perform(sim.client.PeerUnreachable(sim.now, serverAddr, sim.datagramOf(1), nil), true)
	if reason, failed := sim.failureOf(1); !failed || reason != Unreachable || sim.outcomes[1][0].Transmissions != 1 {
		t.Errorf("own refusal within the grace: %+v, want unreachable after one transmission", sim.outcomes[1])
	}
	if c := sim.client.Counts(); c.Refusals != 2 || c.UnknownRefusals != 0 {
		t.Errorf("found %+v, want 2 refusals, none unknown", c)
	}
}

// Guards against a refusal that is taken as proof about all datagrams of a request, and
// against one that ends requests to another server.
func TestRefusalOfARetransmission(t *testing.T) {
	sim := newSimulation(t, 5)
	sim.drop = func(int) bool { return true }
	sim.request(1, message.Confirmable)
	for sim.client.Counts().Retransmissions == 0 {
		sim.run(time.Millisecond)
	}
	other := netip.AddrPortFrom(serverAddr.Addr().Next(), serverAddr.Port())
	actions, ok := sim.client.Request(sim.now, 2, other, message.Message{Type: message.Confirmable, Code: message.GET}, true, nil)
	if !ok || len(actions) != 1 {
		t.Fatalf("request to another server: %+v, %t, want one datagram", actions, ok)
	}
	sim.perform(sim.client.PeerUnreachable(sim.now, serverAddr, sim.datagramOf(1), nil), true)
	if e := sim.outcomes[1]; len(e) != 0 {
		t.Errorf("right after the refusal of one of two datagrams: %+v, want no end", e)
	}
	sim.run(lossGrace)
	if reason, failed := sim.failureOf(1); !failed || reason != PeerLost || sim.outcomes[1][0].Transmissions != 2 {
		t.Errorf("after the grace: %+v, want the loss of the server after two transmissions", sim.outcomes[1])
	}
	if e := sim.outcomes[2]; len(e) != 0 {
		t.Errorf("request to another server: %+v, want no end", e)
	}
}

// Checks what the failure to send a datagram proves: nothing about other requests, and that a
// request was not processed only if no other datagram of it has left.
func TestSendFailures(t *testing.T) {
	for localFault, want := range map[bool]FailureReason{false: Unreachable, true: NotSent} {
		sim := threeInFlight(t)
		sim.perform(sim.client.SendFailed(sim.now, serverAddr, sim.datagramOf(2), localFault, nil), true)
		if reason, failed := sim.failureOf(2); !failed || reason != want || sim.outcomes[2][0].Transmissions != 0 {
			t.Errorf("only datagram not sent: %+v, want %v after no transmission", sim.outcomes[2], want)
		}
		sim.run(time.Second)
		if len(sim.outcomes[1]) != 0 || len(sim.outcomes[3]) != 0 {
			t.Errorf("other requests: %+v, %+v, want no end", sim.outcomes[1], sim.outcomes[3])
		}
	}
	sim := newSimulation(t, 5)
	sim.drop = func(int) bool { return true }
	sim.request(1, message.Confirmable)
	for sim.client.Counts().Retransmissions == 0 {
		sim.run(time.Millisecond)
	}
	sim.perform(sim.client.SendFailed(sim.now, serverAddr, sim.datagramOf(1), false, nil), true)
	if e := sim.outcomes[1]; len(e) != 0 {
		t.Errorf("retransmission not sent: %+v, want no end", e)
	}
	sim.perform(sim.client.PeerUnreachable(sim.now, serverAddr, sim.datagramOf(1), nil), true)
	if reason, failed := sim.failureOf(1); !failed || reason != Unreachable || sim.outcomes[1][0].Transmissions != 1 {
		t.Errorf("only datagram that left refused: %+v, want unreachable after one transmission", sim.outcomes[1])
	}
	// Datagrams without a request are lost as in the network.
	if actions := sim.client.SendFailed(sim.now, serverAddr, emptyMessage(message.Acknowledgement, 1), false, nil); len(actions) != 0 {
		t.Errorf("acknowledgement not sent: %+v, want no action", actions)
	}
}
