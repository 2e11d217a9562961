package server

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

const (
	messagesPath = "/raft"
	// maxQueuedMessages is the capacity of the queue of messages to one member. Messages that
	// do not fit are dropped.
	maxQueuedMessages = 256
	// maxBatchBytes bounds the size of all messages in one call. A message with the largest
	// snapshot is within this bound.
	maxBatchBytes = coordination.MaxSnapshotBytes + 2<<20
	// messageTimeout is the timeout of a call to another member.
	messageTimeout = 2 * time.Second
	// maxDiscardedBytes bounds how much of a response body is read and discarded. The body is
	// read so that the connection can be reused.
	maxDiscardedBytes = 1024
)

// errNoAddress is returned for a member whose address is not known yet.
var errNoAddress = errors.New("the member's address is not known yet")

// peer is the connection to one other member. Each peer has a goroutine that executes
// runPeer and ends before Run returns.
type peer struct {
	number uint64
	queue  chan *raftpb.Message
	// announcedPosition is this member's newest position that the other member has received.
	// attemptedPosition is this member's position when the last announcement was queued, at
	// the tick attemptedAt. All three fields are owned by the Run goroutine.
	announcedPosition, attemptedPosition logPosition
	attemptedAt                          uint64
}

// announcement is queued if this member has to send its position but has no message to send
// with it.
var announcement = &raftpb.Message{}

// peer returns the connection to a member. The first call for a member starts the goroutine
// of the connection, which ends when ctx ends. peer must be called on the Run goroutine.
func (s *Server) peer(ctx context.Context, number uint64) *peer {
	p := s.peers[number]
	if p == nil {
		p = &peer{number: number, queue: make(chan *raftpb.Message, maxQueuedMessages)}
		s.peers[number] = p
		s.tasks.Go(func() { s.runPeer(ctx, p) })
	}
	return p
}

// send queues a message. It drops the message if the queue is full, since raft sends messages
// again that are still needed. send must be called on the Run goroutine.
func (s *Server) send(ctx context.Context, message *raftpb.Message) {
	p := s.peer(ctx, message.GetTo())
	select {
	case p.queue <- message:
	default:
		s.member.ReportUnreachable(p.number)
	}
}

// runPeer sends the queued messages, in batches, until ctx ends.
func (s *Server) runPeer(ctx context.Context, to *peer) {
	for {
		body, hasSnapshot := to.nextBatch(ctx)
		if ctx.Err() != nil {
			return
		}
		var address string
		// The position includes all state that the messages acknowledge: that state is stored
		// before the messages are queued, and the position is read afterwards.
		var position logPosition
		if !s.execute(ctx, func() { address, position = s.address(to.number), s.position }) {
			return
		}
		err := s.postMessages(ctx, address, position, body)
		s.execute(ctx, func() {
			if err != nil {
				s.member.ReportUnreachable(to.number)
			} else {
				to.announcedPosition = position
			}
			if hasSnapshot {
				s.member.ReportSnapshot(to.number, err == nil)
			}
		})
		if err != nil {
			s.log.Debug("messages to member not sent", "member", to.number, "error", err)
			sleep(ctx, s.config.Tick)
		}
	}
}

// nextBatch waits for a message. It returns an encoded batch of this message and of the
// messages that are queued behind it.
func (p *peer) nextBatch(ctx context.Context) (body []byte, hasSnapshot bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case message := <-p.queue:
		body, hasSnapshot = appendMessage(body, message), message.GetType() == raftpb.MsgSnap
	}
	for len(body) < maxBatchBytes/2 {
		select {
		case message := <-p.queue:
			body, hasSnapshot = appendMessage(body, message), hasSnapshot || message.GetType() == raftpb.MsgSnap
		default:
			return body, hasSnapshot
		}
	}
	return body, hasSnapshot
}

// address returns the address that a member listens on, or "" if it is not known. It must
// be called on the Run goroutine.
func (s *Server) address(number uint64) string {
	if address := s.member.State().Members[number]; address != "" {
		return address
	}
	return s.config.memberAddresses()[number]
}

// appendMessage appends a message to a batch. An encoded message consists of its length as a
// uvarint, followed by its protobuf encoding. The batch is returned unchanged if the message
// is the value of the variable announcement, or if the message cannot be encoded.
func appendMessage(batch []byte, message *raftpb.Message) []byte {
	if message == announcement {
		return batch
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return batch
	}
	return append(binary.AppendUvarint(batch, uint64(len(data))), data...)
}

// decodeMessages decodes a batch of messages. The parameter to is the number of the member to
// which all messages must be addressed.
func decodeMessages(batch []byte, to uint64) ([]*raftpb.Message, error) {
	var messages []*raftpb.Message
	for len(batch) > 0 {
		size, n := binary.Uvarint(batch)
		if n <= 0 || size > uint64(len(batch)-n) {
			return nil, errors.New("batch: truncated message")
		}
		message := &raftpb.Message{}
		if err := proto.Unmarshal(batch[n:n+int(size)], message); err != nil {
			return nil, err
		}
		if message.GetTo() != to {
			return nil, fmt.Errorf("batch: found a message for member %d, wanted member %d", message.GetTo(), to)
		}
		messages = append(messages, message)
		batch = batch[n+int(size):]
	}
	return messages, nil
}

// postMessages sends a batch of messages to an address. The call also carries the given
// position of this member.
func (s *Server) postMessages(ctx context.Context, address string, position logPosition, batch []byte) error {
	if address == "" {
		return errNoAddress
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+messagesPath, bytes.NewReader(batch))
	if err != nil {
		return err
	}
	req.Header.Set(client.ClusterHeader, s.cluster)
	if err := s.setPositionHeader(req.Header, position); err != nil {
		return err
	}
	if err := faultinjection.BeforeSend(ctx, address); err != nil {
		return err
	}
	r, err := s.http.Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBytes)); err != nil {
		return err
	}
	if r.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s: status %d", address, r.StatusCode)
	}
	return nil
}
