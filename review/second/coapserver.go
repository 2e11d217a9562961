package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// What a message of CoAP is made of (RFC 7252, section 3), as far as a call server needs it.
const (
	typeConfirmable    = 0
	typeNonConfirmable = 1
	typeAcknowledge    = 2
	codeGet            = 0x01
	codePost           = 0x02
	codeContent        = 0x45 // 2.05
	codeChanged        = 0x44 // 2.04
	optionRequestID    = 65001
	// acknowledgeAfter is when a request without a response is acknowledged, well below the
	// 2 s after which it is sent again.
	acknowledgeAfter = 500 * time.Millisecond
)

// coapMessage is a decoded message.
type coapMessage struct {
	kind, code byte
	id         uint16
	token      []byte
	options    map[int]string
}

func decode(datagram []byte) (m coapMessage, ok bool) {
	if len(datagram) < 4 || datagram[0]>>6 != 1 {
		return m, false
	}
	tokenLength := int(datagram[0] & 15)
	m = coapMessage{kind: datagram[0] >> 4 & 3, code: datagram[1], id: binary.BigEndian.Uint16(datagram[2:]), options: map[int]string{}}
	rest := datagram[4:]
	if tokenLength > 8 || len(rest) < tokenLength {
		return m, false
	}
	m.token, rest = rest[:tokenLength:tokenLength], rest[tokenLength:]
	number := 0
	for len(rest) > 0 && rest[0] != 0xff {
		delta, length := int(rest[0]>>4), int(rest[0]&15)
		rest = rest[1:]
		for _, value := range []*int{&delta, &length} {
			switch {
			case *value == 13 && len(rest) >= 1:
				*value, rest = int(rest[0])+13, rest[1:]
			case *value == 14 && len(rest) >= 2:
				*value, rest = int(binary.BigEndian.Uint16(rest))+269, rest[2:]
			case *value >= 13:
				return m, false
			}
		}
		if length > len(rest) {
			return m, false
		}
		number += delta
		m.options[number], rest = string(rest[:length]), rest[length:]
	}
	return m, true
}

// encode returns a response without options.
func encode(kind, code byte, id uint16, token []byte, body string) []byte {
	datagram := binary.BigEndian.AppendUint16([]byte{1<<6 | kind<<4 | byte(len(token)), code}, id)
	datagram = append(datagram, token...)
	if body != "" {
		datagram = append(append(datagram, 0xff), body...)
	}
	return datagram
}

// messageKey identifies a message: a repeat has the same.
type messageKey struct {
	peer netip.AddrPort
	id   uint16
}

// callServer is a call server over CoAP that knows no Echo. It begins each request when its
// datagram arrives, prints a line for it, works, and answers. A repeat of a message does not run
// again. Arguments: the address to listen on.
func callServer(args []string) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(args[0])))
	if err != nil {
		fmt.Println("failed", err)
		os.Exit(2)
	}
	fmt.Println("up")
	var mu sync.Mutex
	answers := map[messageKey][]byte{} // nil while the request runs
	buffer := make([]byte, 2048)
	for {
		n, peer, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		m, ok := decode(append([]byte(nil), buffer[:n]...))
		if !ok || m.kind > typeNonConfirmable || m.code != codeGet && m.code != codePost {
			continue
		}
		key := messageKey{peer, m.id}
		mu.Lock()
		answer, repeated := answers[key]
		if !repeated {
			answers[key] = nil
		}
		mu.Unlock()
		if repeated {
			if answer != nil {
				_, _ = conn.WriteToUDPAddrPort(answer, peer)
			}
			continue
		}
		requestID := m.options[optionRequestID]
		fmt.Println("run", requestID)
		go func() {
			work := 39*time.Millisecond + time.Duration(rand.Int64N(int64(32*time.Millisecond)))
			time.Sleep(work) // ends before acknowledgeAfter: the answer comes with the acknowledgement
			code := byte(codeChanged)
			if m.code == codeGet {
				code = codeContent
			}
			answer := encode(typeAcknowledge, code, m.id, m.token, "done "+requestID)
			mu.Lock()
			answers[key] = answer
			mu.Unlock()
			_, _ = conn.WriteToUDPAddrPort(answer, peer)
		}()
	}
}
