package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"review/lab"
)

func init() { cases["open-id"] = openID }

const badRequests = 50

// openID: while a start-rec of a usual client is open, a bad client sends a start-rec of its own.
// With trouble it gives the id of the open request as well, in the trailer of its chunked body.
// The call servers compare what reaches them with what was sent in the heads of requests.
func openID(e *env) (v verdict, err error) {
	servers, entries, err := fleet(e, 6, 0)
	if err != nil {
		return v, err
	}
	var odd atomic.Int64
	for _, s := range servers {
		s.Handle = func(a *lab.Arrival) bool {
			time.Sleep(39*time.Millisecond + rand.N(32*time.Millisecond))
			if len(a.IDs) != 1 { // no client sent a request in this form
				odd.Add(1)
				_, err := fmt.Fprint(a.Conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			}
			return a.Reply(lab.Answer(a.ID))
		}
		s.Serve()
	}
	discovery, err := lab.NewDiscovery(e.record, entries)
	if err != nil {
		return v, err
	}
	classes := lab.CallClasses()
	sidecar, err := lab.NewSidecar(e.record, e.dir, "n1", discovery.Address(), discovery.Snapshot(), lab.Settings("subscribe", classes))
	if err != nil {
		return v, err
	}
	defer sidecar.Kill()
	if err := sidecar.Start(); err != nil {
		return v, err
	}
	clients := lab.NewClients(e.record, sidecar.Listen)
	startRec, open := classes[2], map[string]string{} // the id of the open request, by the bad client's own id
	for range badRequests {
		id, own := lab.NewID(), lab.NewID()
		clients.SendID(startRec, id, 900*time.Millisecond)
		time.Sleep(15 * time.Millisecond) // the request is open: a call server works on it
		body, trailer := "sent by "+own, ""
		if e.trouble {
			trailer = "X-Request-Id: " + id + "\r\n"
		}
		open[own] = id
		text := fmt.Sprintf("POST /start-rec HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Deadline: 0.900\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", own, len(body), body, trailer)
		e.record.Add("bad client: sends %q", text)
		e.record.Add("bad client: id %s got %s", own, exchange(sidecar.Listen, text))
		time.Sleep(100 * time.Millisecond)
	}
	usual := map[int]int{}
	for _, o := range clients.Wait() {
		usual[o.Status]++
	}
	if !sidecar.Alive() {
		return v, fmt.Errorf("the sidecar ended")
	}
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			v.checked++
			own := a.IDs[0]
			if victim := open[own]; victim != "" && slices.Contains(a.IDs, victim) {
				v.broken++
				e.record.AddAt(a.Last, "BREAK %s got the request of the bad client, id %s, in its head also as id %s, which is the open request of another client", s.Name, own, victim)
			}
		}
	}
	v.text = fmt.Sprintf("requests that reached a call server under the id of another client's open request; %d bad requests, %d were of a form that no client sent; the usual clients by status: %v", badRequests, odd.Load(), usual)
	return v, nil
}

// exchange sends a request on a connection of its own and returns the status of the answer.
func exchange(address, text string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write([]byte(text)); err != nil {
		return err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	response.Body.Close()
	return response.Status
}
