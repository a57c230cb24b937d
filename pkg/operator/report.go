package operator

import (
	"context"
	"fmt"

	"github.com/google/subcommands"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/presetstore"
)

// changeReport is the JSON output of commands that change something.
type changeReport struct {
	Status     string   `json:"status"`
	Name       string   `json:"name,omitempty"`
	Revision   uint64   `json:"revision,omitempty"`
	InForceOn  []string `json:"inForceOn,omitempty"`
	Missing    []string `json:"missing,omitempty"`
	Difference []string `json:"difference,omitempty"`
	Error      string   `json:"error,omitempty"`
}

var statusNames = map[presetstore.Status]string{
	presetstore.Unknown:     "unknown",
	presetstore.Accepted:    "accepted",
	presetstore.Conflict:    "conflict",
	presetstore.Refused:     "refused",
	presetstore.Unavailable: "unavailable",
}

// report prints the outcome of a change. After an accepted change it waits for
// the gateways to have it in force.
func (t *Tool) report(ctx context.Context, p platform.Platform, outcome presetstore.Outcome, asJSON bool) subcommands.ExitStatus {
	report := changeReport{
		Status:     statusNames[outcome.Status],
		Name:       outcome.Head.Name,
		Revision:   outcome.Head.InForceRevision,
		Difference: outcome.Difference,
	}
	if outcome.Err != nil {
		report.Error = outcome.Err.Error()
	}
	exit := subcommands.ExitFailure
	if outcome.Status == presetstore.Accepted {
		exit = subcommands.ExitSuccess
		report.InForceOn, report.Missing = confirm(ctx, p, outcome.Head.InForceRevision)
	}
	if asJSON {
		t.printJSON(report)
		return exit
	}
	t.printReport(outcome, report)
	return exit
}

func (t *Tool) printReport(outcome presetstore.Outcome, report changeReport) {
	switch outcome.Status {
	case presetstore.Accepted:
		fmt.Fprintf(t.Out, "accepted; preset %s at revision %d is in force on %d of %d gateways\n",
			report.Name, report.Revision, len(report.InForceOn), len(report.InForceOn)+len(report.Missing))
	case presetstore.Conflict:
		fmt.Fprintf(t.Err, "balsamhill: conflict: another change came first; in force is %s at revision %d; nothing was written\n",
			outcome.Head.Name, outcome.Head.InForceRevision)
		for _, line := range outcome.Difference {
			fmt.Fprintln(t.Err, "  stored -> yours:", line)
		}
	default:
		fmt.Fprintf(t.Err, "balsamhill: %s: %s\n", report.Status, report.Error)
	}
}
