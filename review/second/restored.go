package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// council is a coordination cluster of three members.
type council struct {
	r         *run
	path      string
	addresses []string
	members   map[int]*process
}

const otterspring = "bin/otterspring"

// startCouncil starts the members of a new council with the settings of the operators' page.
func (r *run) startCouncil() *council {
	c := &council{r: r, members: map[int]*process{}}
	text := fmt.Sprintf("name = \"ams\"\ndirectory = %q\nlease = \"5s\"\nmargin = \"500ms\"\ntick = \"100ms\"\n", r.dir+"/council")
	for i := range 3 {
		c.addresses = append(c.addresses, freeAddress())
		text += fmt.Sprintf("[[member]]\nnumber = %d\naddress = %q\n", i+1, c.addresses[i])
	}
	c.path = r.write("council.toml", text)
	for number := 1; number <= 3; number++ {
		c.run(number, "--new")
	}
	must(waitFor(20*time.Second, c.agrees))
	return c
}

// run starts a member.
func (c *council) run(number int, flags ...string) {
	name := fmt.Sprintf("member%d", number)
	command := append([]string{otterspring, "council", "run", "--member", fmt.Sprint(number)}, flags...)
	c.members[number] = c.r.startCommand(name, nil, nil, append(command, c.path)...)
}

// agrees reports whether a majority confirms the leases.
func (c *council) agrees() bool {
	_, code := c.r.output(20*time.Second, otterspring, "council", "duties", c.path)
	return code == 0
}

// startSupervisor starts the supervisor of a host with one sidecar and returns the path of its
// file.
func (r *run) startSupervisor(host string, c *council, d *discovery) string {
	dir := r.dir + "/" + host
	must(os.Mkdir(dir, 0o700))
	listen := freeAddress()
	config := r.write(host+".json", strings.Replace(sidecarConfig("{name}", listen, d.address), listen, "{listen}", 1))
	file := fmt.Sprintf("program = %q\ndirectory = %q\nconfig = %q\n[[instance]]\nname = %q\nlisten = %q\n", r.root+"/bin/sandhinge", dir, config, host+"n1", listen)
	file += fmt.Sprintf("[council]\nname = \"ams\"\nmembers = [%q, %q, %q]\nhost = %q\nzone = \"a\"\nlisten = %q\n", c.addresses[0], c.addresses[1], c.addresses[2], host, freeAddress())
	path := r.write(host+".toml", file)
	r.startCommand(host, nil, nil, otterspring, "fleet", "run", path).stopsOthers = true
	must(waitFor(30*time.Second, func() bool { return ready(listen) }))
	return path
}

// restored: a council loses its majority for good and is restored from a snapshot as the page
// says. An order that it accepts afterwards has to be carried out.
func restored(r *run) verdict {
	const orderLimit = 40 * time.Second
	d := r.startDiscovery(1, nil)
	c := r.startCouncil()
	first := r.startSupervisor("h1", c, d)
	second := r.startSupervisor("h2", c, d)
	must(waitFor(20*time.Second, func() bool {
		text, _ := r.output(20*time.Second, otterspring, "council", "status", c.path)
		return strings.Count(text, "\n") > 0
	}))
	time.Sleep(2 * time.Second) // both hosts have their records at the council
	order := func() (string, int) {
		return r.output(orderLimit, otterspring, "fleet", "restart", "--everywhere", "--wait", first)
	}
	if text, code := order(); code != 0 {
		panic("the order before the loss was not carried out: " + text)
	}
	snapshot := r.dir + "/snapshot"
	if text, code := r.output(20*time.Second, otterspring, "council", "snapshot", c.path, snapshot); code != 0 {
		panic("no snapshot: " + text)
	}
	if r.trouble {
		r.note("trouble", "members 1 and 3 are killed and do not come back; member 2 is restored")
		c.members[1].kill()
		c.members[3].kill()
		c.members[2].signal(syscall.SIGTERM)
		<-c.members[2].ended
		if text, code := r.output(20*time.Second, otterspring, "council", "restore", "--member", "2", "--space", "2", c.path, snapshot); code != 0 {
			panic("not restored: " + text)
		}
		c.run(2)
		must(waitFor(20*time.Second, c.agrees))
		time.Sleep(8 * time.Second) // more than a lease, and many times the interval at which supervisors ask again
	}
	began := time.Now()
	text, code := order()
	took := time.Since(began).Round(100 * time.Millisecond)
	status, _ := r.output(20*time.Second, otterspring, "council", "duties", c.path)
	for _, file := range []string{first, second} {
		r.output(10*time.Second, otterspring, "fleet", "status", file)
	}
	if code != 0 && !strings.Contains(text, "order ") {
		panic("the council did not accept the order: " + text)
	}
	if code != 0 {
		return broken("the council accepted an order %v ago and no supervisor carries it out: %q", took, status)
	}
	return held("the order was carried out within %v", took)
}
