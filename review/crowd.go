package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/lab"
)

func init() { cases["crowd"] = crowd }

const (
	crowdSize   = 400 // bad clients
	crowdLength = 15 * time.Second
)

// crowd: beside the usual clients, hundreds of bad clients connect, send a part of a request and
// stay until the sidecar closes, and do the same again. Without trouble there are none.
func crowd(e *env) (v verdict, err error) {
	servers, entries, err := fleet(e, 6, 20*time.Millisecond)
	if err != nil {
		return v, err
	}
	for _, s := range servers {
		s.Serve()
	}
	discovery, err := lab.NewDiscovery(e.record, entries)
	if err != nil {
		return v, err
	}
	lab.Descriptors = 256
	classes := lab.CallClasses()
	sidecar, err := lab.NewSidecar(e.record, e.dir, "n1", discovery.Address(), discovery.Snapshot(), lab.Settings("subscribe", classes))
	if err != nil {
		return v, err
	}
	defer sidecar.Kill()
	if err := sidecar.Start(); err != nil {
		return v, err
	}
	clients, stop := lab.NewClients(e.record, sidecar.Listen), make(chan struct{})
	var n, connections atomic.Int64
	clients.Load(60, stop, func() lab.Class { return classes[n.Add(1)%int64(len(classes))] })
	time.Sleep(3 * time.Second)
	end := time.Now().Add(crowdLength)
	var bad sync.WaitGroup
	for range crowdSize {
		if !e.trouble {
			break
		}
		bad.Go(func() {
			for time.Now().Before(end) {
				connections.Add(1)
				halfRequest(sidecar.Listen, classes[rand.IntN(len(classes))])
			}
		})
	}
	e.record.Add("the crowd begins")
	time.Sleep(time.Until(end))
	bad.Wait()
	e.record.Add("the crowd has gone after %d connections", connections.Load())
	close(stop)
	status := map[int]int{}
	shut := 0
	for _, o := range clients.Wait() {
		v.checked++
		status[o.Status]++
		switch {
		case o.Status > 0:
		case errors.Is(o.Err, os.ErrDeadlineExceeded):
			v.broken++
			e.record.AddAt(o.End, "BREAK client: id %s of class %s had no answer %v after it was sent; its connection is open", o.ID, o.Class, o.End.Sub(o.Sent).Round(time.Millisecond))
		default:
			shut++ // a connection that is shut unread is excused
		}
	}
	if !sidecar.Alive() {
		return v, fmt.Errorf("the sidecar ended")
	}
	v.text = fmt.Sprintf("requests of usual clients with no answer half a second after their time, on connections that stayed open; %d connections were shut instead; %d connections of the crowd; requests by status: %v", shut, connections.Load(), status)
	return v, nil
}

// halfRequest connects, sends a part of a request and waits until the connection is closed.
func halfRequest(address string, class lab.Class) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	text := lab.Encode(class, lab.NewID(), time.Second)
	if _, err := io.WriteString(conn, text[:len(text)/4+rand.IntN(len(text)/2)]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
}
