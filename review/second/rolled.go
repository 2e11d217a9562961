package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// rolled: a new program is rolled out on a host, the supervisor is killed, and the next one adopts
// the instances. A restart that names no program has to start the running one.
func rolled(r *run) verdict {
	const instances = 2
	starts := r.dir + "/starts"
	program := func(version string) string {
		must(os.Mkdir(r.dir+"/"+version, 0o700))
		path := filepath.Join(r.dir, version, "sandhinge")
		text := fmt.Sprintf("#!/bin/sh\necho \"$RELAY_NAME %s\" >>%s\nexec %s/bin/sandhinge \"$@\"\n", version, starts, r.root)
		must(os.WriteFile(path, []byte(text), 0o700))
		return path
	}
	first, second := program("v1"), program("v2")
	d := r.startDiscovery(1, nil)
	must(os.Mkdir(r.dir+"/h1", 0o700))
	file := fmt.Sprintf("program = %q\ndirectory = %q\n", first, r.dir+"/h1")
	var addresses []string
	for i := range instances {
		name, listen := fmt.Sprintf("n%d", i+1), freeAddress()
		addresses = append(addresses, listen)
		config := r.write(name+".json", strings.Replace(sidecarConfig("{name}", listen, d.address), listen, "{listen}", 1))
		file += fmt.Sprintf("[[instance]]\nname = %q\nlisten = %q\nconfig = %q\n", name, listen, config)
	}
	path := r.write("fleet.toml", file)
	allReady := func() bool {
		for _, address := range addresses {
			if !ready(address) {
				return false
			}
		}
		return true
	}
	startSupervisor := func() *process {
		p := r.startCommand("supervisor", nil, nil, otterspring, "fleet", "run", path)
		p.stopsOthers = true
		must(waitFor(30*time.Second, func() bool {
			_, code := r.output(10*time.Second, otterspring, "fleet", "status", path)
			return code == 0 && allReady()
		}))
		return p
	}
	restart := func(flags ...string) {
		command := append([]string{otterspring, "fleet", "restart", "--wait"}, flags...)
		if text, code := r.output(60*time.Second, append(command, path)...); code != 0 {
			panic("the restart failed: " + text)
		}
		must(waitFor(20*time.Second, allReady))
	}
	running := func() map[string]string {
		text, err := os.ReadFile(starts)
		must(err)
		versions := map[string]string{}
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			name, version, _ := strings.Cut(line, " ")
			versions[name] = version
		}
		r.note("running", "%v", versions)
		return versions
	}
	supervisor := startSupervisor()
	restart("--program", second)
	for name, version := range running() {
		if version != "v2" {
			panic(name + " does not run the program that was rolled out")
		}
	}
	if r.trouble {
		r.note("trouble", "the supervisor is killed and another one started")
		supervisor.stopsOthers = false
		supervisor.signal(syscall.SIGKILL)
		<-supervisor.ended
		startSupervisor()
	}
	restart()
	for name, version := range running() {
		if version != "v2" {
			return broken("%s ran v2, which was rolled out without a failure; a restart that names no program has started %s", name, version)
		}
	}
	return held("the restart has started the program that was rolled out")
}
