// Command review-2 has the cases 6 to 10 of the review and their stand-ins. Each case starts
// the project's programs as separate processes on loopback addresses.
//
//	review-2 NAME FOLDER    plays a case and writes FOLDER/record.txt
//	review-2 callserver ... a call server over CoAP, started by a case
//
// The exit code of a case is 0 if the rule held, 1 if it was broken and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// caseLimit ends a case that hangs.
const caseLimit = 115 * time.Second

var cases = map[string]func(*run) verdict{
	"refused": refused, "restored": restored, "takeover": takeover, "window": window, "rolled": rolled, "crowd": crowd,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "callserver" {
		callServer(os.Args[2:])
		return
	}
	if len(os.Args) > 1 && os.Args[1] == "crowd" && len(os.Args) == 3 && strings.Contains(os.Args[2], ":") {
		crowdOfBodies(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 NAME FOLDER")
		os.Exit(2)
	}
	r, err := newRun(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	done := make(chan verdict, 1)
	go func() {
		defer func() {
			if failure := recover(); failure != nil {
				done <- verdict{code: 2, text: fmt.Sprint("the case could not run: ", failure)}
			}
		}()
		done <- cases[os.Args[1]](r)
	}()
	var v verdict
	select {
	case v = <-done:
	case failure := <-r.failed:
		v = verdict{code: 2, text: "the case could not run: " + failure}
	case <-time.After(caseLimit):
		v = verdict{code: 2, text: "the case did not end in time"}
	}
	r.note("verdict", "exit code %d: %s", v.code, v.text)
	fmt.Println(v.text)
	r.close()
	os.Exit(v.code)
}
