package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	optionURIPath = 11
	// ackTimeout is the least time after which a message is sent again (RFC 7252, section 4.8).
	ackTimeout = 2 * time.Second
)

// appendOption appends an option whose number is delta above that of the option before.
func appendOption(datagram []byte, delta int, value string) []byte {
	var first byte
	var extended []byte
	for shift, n := range map[int]int{4: delta, 0: len(value)} {
		switch {
		case n < 13:
			first |= byte(n) << shift
		case n < 269:
			first |= 13 << shift
		default:
			first |= 14 << shift
		}
	}
	for _, n := range []int{delta, len(value)} {
		switch {
		case n >= 269:
			extended = binary.BigEndian.AppendUint16(extended, uint16(n-269))
		case n >= 13:
			extended = append(extended, byte(n-13))
		}
	}
	return append(append(append(datagram, first), extended...), value...)
}

// startRecording returns a confirmable start-rec.
func startRecording(requestID string) []byte {
	datagram := binary.BigEndian.AppendUint16([]byte{1<<6 | typeConfirmable<<4 | 4, codePost}, uint16(rand.Uint32()))
	datagram = binary.BigEndian.AppendUint32(datagram, rand.Uint32()) // token
	datagram = appendOption(datagram, optionURIPath, "start-rec")
	datagram = appendOption(datagram, optionRequestID-optionURIPath, requestID)
	return append(append(datagram, 0xff), "record"...)
}

// device is a meeting room device behind a router.
type device struct {
	id       string // request ID
	datagram []byte
	code     string // code of the response; empty if none came
}

// send sends the datagram from a port of its own and waits for a response.
func (d *device) send(r *run, to, what string, wait time.Duration) {
	conn, err := net.Dial("udp", to)
	must(err)
	defer conn.Close()
	_, err = conn.Write(d.datagram)
	must(err)
	r.note("sent", "%s: start-rec %s from %s", what, d.id, conn.LocalAddr())
	must(conn.SetReadDeadline(time.Now().Add(wait)))
	buffer := make([]byte, 2048)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		if m, ok := decode(buffer[:n]); ok && m.code != 0 {
			d.code = fmt.Sprintf("%d.%02d", m.code>>5, m.code&31)
			r.note("answered", "%s: start-rec %s: %s", what, d.id, d.code)
			return
		}
	}
}

// sendUnheard sends the datagram. The router has forgotten the port when the response comes, so
// that the device does not hear it and repeats the message later.
func (d *device) sendUnheard(r *run, to string) {
	conn, err := net.Dial("udp", to)
	must(err)
	defer conn.Close()
	_, err = conn.Write(d.datagram)
	must(err)
	r.note("sent", "first: start-rec %s from %s", d.id, conn.LocalAddr())
	time.Sleep(ackTimeout)
}

// takeover: devices repeat a start-rec through a router that has changed their ports, as the
// page on CoAP names it. In between the sidecar hands over to a new process. No start-rec may run
// twice.
func takeover(r *run) verdict {
	const devices = 20
	var mu sync.Mutex
	began := map[string][]string{}
	up := make(chan struct{}, 4)
	var list []endpoint
	for i := range 2 {
		name, address := fmt.Sprintf("s%d", i+1), freeAddress()
		list = append(list, endpoint{Name: name, Address: "coap://" + address, Zone: "a", Type: "std", Group: i, Status: "active", Weight: 1})
		r.startCommand(name, nil, func(line string) {
			if line == "up" {
				up <- struct{}{}
				return
			}
			r.note(name, "%s", line)
			if id, ran := strings.CutPrefix(line, "run "); ran {
				mu.Lock()
				began[id] = append(began[id], name)
				mu.Unlock()
			}
		}, os.Args[0], "callserver", address)
	}
	for range 2 {
		<-up
	}
	d := r.startDiscovery(1, list)
	listen, coap := freeAddress(), freeAddress()
	config := r.write("n1.json", sidecarConfig("n1", listen, d.address))
	operator := r.write("n1.toml", fmt.Sprintf("[coap]\nlisten = %q\nservers = true\nstate = %q\n[handover]\nsocket = %q\n", coap, r.dir+"/coap-state", r.dir+"/n1.sock"))
	first := r.startSidecar(listen, config, operator)
	time.Sleep(2500 * time.Millisecond) // the sidecar has the list

	all := make([]*device, devices)
	var sending sync.WaitGroup
	for i := range all {
		id := fmt.Sprintf("%016x", rand.Uint64())
		all[i] = &device{id: id, datagram: startRecording(id)}
		sending.Go(func() { all[i].sendUnheard(r, coap) })
		time.Sleep(20 * time.Millisecond)
	}
	sending.Wait()
	mu.Lock()
	ran := len(began)
	mu.Unlock()
	if ran < devices {
		panic(fmt.Sprintf("only %d of %d start-rec ran", ran, devices))
	}
	if r.trouble {
		r.note("trouble", "a new process takes over")
		r.startSidecar(listen, config, operator)
		select {
		case <-first.ended:
		case <-time.After(20 * time.Second):
			panic("the old process has not ended")
		}
	} else {
		time.Sleep(time.Second)
	}
	for _, one := range all {
		sending.Go(func() { one.send(r, coap, "repeat", 3*time.Second) })
		time.Sleep(20 * time.Millisecond)
	}
	sending.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, names := range began {
		if len(names) > 1 {
			twice++
			r.note("broken", "start-rec %s ran %d times: %v", id, len(names), names)
		}
	}
	if twice > 0 {
		return broken("%d of %d start-rec ran twice: repeated before and after a hand-over with one X-Request-Id", twice, devices)
	}
	return held("each of %d start-rec ran once; repeats were told", devices)
}
