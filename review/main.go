// Command review runs one case of the review. It exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"

	"review/lab"
)

// verdict is the result of a case.
type verdict struct {
	broken  int    // number of breaks that were seen
	checked int    // number of things that were checked
	text    string // in words
}

// env is what each case gets.
type env struct {
	record  *lab.Record
	dir     string // temporary folder
	trouble bool   // whether the disruption is made
}

var cases = map[string]func(*env) (verdict, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		return 2
	}
	record, err := lab.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	time.AfterFunc(115*time.Second, func() {
		record.Add("the case took over 115 s")
		os.RemoveAll(dir)
		os.Exit(2) // the kernel ends the sidecar with this process
	})
	result, err := cases[os.Args[1]](&env{record, dir, os.Getenv("TROUBLE") != "0"})
	if err != nil {
		record.Add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	line := fmt.Sprintf("broken %d of %d: %s", result.broken, result.checked, result.text)
	record.Add("%s", line)
	fmt.Println(line)
	if result.checked == 0 {
		return 2
	}
	if result.broken > 0 {
		return 1
	}
	return 0
}
