// Command standin holds the stand-ins of the review: instances as processes of their own,
// and a runner that plays the platform's store, the operator and the requesters, starts
// the gateways, injects the disruption of a case and checks its rule.
//
//	standin server -id ID -listen ADDR -service NAME
//	standin run -case NAME -record FILE [-gateway PROGRAM]
//
// The runner exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 in its environment it leaves out the disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// errBroken says that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin server|run [flags]")
		os.Exit(2)
	}
	var err error
	switch os.Args[1] {
	case "server":
		err = serveInstance(os.Args[2:])
	case "run":
		err = runCase(os.Args[2:])
	default:
		err = fmt.Errorf("unknown command %q", os.Args[1])
	}
	switch {
	case errors.Is(err, errBroken):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
}

// runCase runs one case.
func runCase(args []string) error {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	name := flags.String("case", "", "name of the case")
	recordPath := flags.String("record", "record.txt", "file for what was sent, answered and run")
	gatewayProgram := flags.String("gateway", "target/balsamhilld", "program of the gateway")
	if err := flags.Parse(args); err != nil {
		return err
	}
	play, ok := cases[*name]
	if !ok {
		return fmt.Errorf("unknown case %q", *name)
	}
	w, err := newWorld(*recordPath, *gatewayProgram, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return err
	}
	defer w.close()
	w.endOnSignal()
	err = play(w)
	switch {
	case errors.Is(err, errBroken):
		w.record.note("result", "rule broken")
	case err != nil:
		w.record.note("result", "could not run: "+err.Error())
	default:
		w.record.note("result", "rule held")
	}
	return err
}
