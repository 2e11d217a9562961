package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// settings are those of a small deployment, with the classes of delft-calls.
const settings = `{"balancers":1,"self-index":0,"family":"mesh","discovery":"subscribe","round-us":2000,"zone":"a","dcs":["a"],
"classes":[
{"name":"roster","aim-us":200000,"deadline-us":500000,"effect":"free","group":"all","late-worth":0,"worth":3,"window-us":5000000},
{"name":"join","aim-us":500000,"deadline-us":2000000,"effect":"guarded","group":"cell","late-worth":0,"worth":8,"window-us":4000000},
{"name":"start-rec","aim-us":500000,"deadline-us":1200000,"effect":"single_shot","group":"all","late-worth":0,"worth":5,"window-us":5000000}],
"tenants":[],"extra":{"warm-keys":false},
"limits":{"cancel":true,"conn-idle-us":5000000,"dial-timeout-us":100000,"max-retry-after-us":1000000,"multiplex":1,"peers":false,"probes":false,"retry-after":true,"second-copies":true,"try-limit":3},
"rules":{"ask-within-us":10000000,"cold-from":0.3,"cold-us":5000000,"grace-to-answer-us":8000,"overload-for-us":3000000,"stop-sending-within-us":500000,"tip-multiple":3.0},
"stats":{"fields":[],"source":"silent"},"weights":"silent","value-by":"request"}`

// sidecarConfig returns a configuration file.
func sidecarConfig(name, listen, discovery string) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":128,"sockets":1024},"settings":%s}`,
		name, listen, discovery, rand.Uint64(), settings)
}

// refused: a call server over CoAP dies while requests run on it, and the next datagram to it is
// refused by its machine. No start-rec may run twice.
func refused(r *run) verdict {
	const servers, perSecond, kills, every = 4, 300, 8, 6 * time.Second
	var mu sync.Mutex
	began := map[string][]string{} // servers that began a request, by its ID
	var list []endpoint
	processes := map[string]*process{}
	startServer := func(name, address string) *process {
		up := make(chan struct{}, 1)
		p := r.startCommand(name, nil, func(line string) {
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
		select {
		case <-up:
		case <-time.After(10 * time.Second):
			panic("a call server did not start")
		}
		return p
	}
	addresses := map[string]string{}
	for i := range servers {
		name := fmt.Sprintf("s%d", i+1)
		addresses[name] = freeAddress()
		list = append(list, endpoint{Name: name, Address: "coap://" + addresses[name], Zone: "a", Type: "std", Group: i / 2, Status: "active", Weight: 1})
		processes[name] = startServer(name, addresses[name])
	}
	d := r.startDiscovery(1, list)
	listen := freeAddress()
	config := r.write("n1.json", sidecarConfig("n1", listen, d.address))
	r.startSidecar(listen, config, r.write("n1.toml", "[coap]\nservers = true\n"))
	time.Sleep(time.Second) // the sidecar asks for the list

	if r.trouble {
		r.later(func() {
			for i := range kills {
				name := fmt.Sprintf("s%d", i%servers+1)
				time.Sleep(every - 2*time.Second)
				r.note("trouble", "%s is killed", name)
				processes[name].kill()
				time.Sleep(2 * time.Second)
				processes[name] = startServer(name, addresses[name])
				d.set(name, "active", time.Now().UnixMilli())
			}
		})
	}
	answers := r.load(listen, perSecond, kills*every, "start-rec")
	mu.Lock()
	defer mu.Unlock()
	twice, total := 0, 0
	for id, names := range began {
		if total++; len(names) > 1 {
			twice++
			r.note("broken", "start-rec %s began %d times: %v; its client was answered %d", id, len(names), names, answers[id])
		}
	}
	served := 0
	for _, status := range answers {
		if status == http.StatusOK {
			served++
		}
	}
	if served < len(answers)/2 {
		panic(fmt.Sprintf("only %d of %d requests were served", served, len(answers)))
	}
	if twice > 0 {
		return broken("%d of %d start-rec ran twice; in %d crashes of call servers", twice, total, kills)
	}
	return held("each of %d start-rec ran once at most", total)
}

// load sends requests of a class for a time and returns the status of each by ID; 0 for none.
func (r *run) load(listen string, perSecond int, duration time.Duration, class string) map[string]int {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	answers := map[string]int{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
		id := fmt.Sprintf("%016x", rand.Uint64())
		requests.Go(func() {
			request, err := http.NewRequest(http.MethodPost, "http://"+listen+"/"+class, strings.NewReader("record"))
			must(err)
			request.Header.Set("X-Request-Id", id)
			request.Header.Set("X-Deadline", "1.2")
			r.note("sent", "%s %s", class, id)
			response, err := client.Do(request)
			status, body := 0, ""
			if err == nil {
				text, readErr := io.ReadAll(response.Body)
				response.Body.Close()
				if readErr == nil {
					status, body = response.StatusCode, strings.TrimSpace(string(text))
				}
			}
			r.note("answered", "%s %s: %d %s", class, id, status, body)
			mu.Lock()
			answers[id] = status
			mu.Unlock()
		})
	}
	requests.Wait()
	return answers
}
