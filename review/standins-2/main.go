// Command standins-2 plays the scripted cases of the second review. It starts the gateways as
// processes with the command of the deploy file, plays the store, the instances and the
// requesters, and checks one rule by what these see. The exit status is 1 if the rule was broken,
// 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxDuration ends a case that does not end by itself.
const maxDuration = 115 * time.Second

// current is the deployment of the case, for fail.
var current *deployment

// fail ends the program because the case cannot run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "case could not run: "+format+"\n", args...)
	if current != nil {
		current.close()
	}
	os.Exit(statusNotRun)
}

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name. Each plays its case, with its disruption if trouble is set.
var cases = map[string]func(d *deployment, trouble bool) verdict{}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fail("unknown case %q", *name)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	current = newDeployment(*recordPath)
	time.AfterFunc(maxDuration, func() { fail("the case takes too long") })
	outcome := play(current, trouble)
	current.record("verdict: broken %v: %s", outcome.broken, outcome.text)
	fmt.Printf("trouble %v, broken %v: %s\n", trouble, outcome.broken, outcome.text)
	current.close()
	if outcome.broken {
		os.Exit(statusBroken)
	}
	os.Exit(statusHeld)
}
