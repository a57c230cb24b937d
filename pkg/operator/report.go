package operator

import (
	"fmt"

	"github.com/google/subcommands"

	"balsamhill/pkg/presetstore"
)

// changeReport is the JSON output of commands that change presets.
type changeReport struct {
	Status string `json:"status"`
	// WriteID finds the change in the audit trail.
	WriteID string `json:"writeId"`
	// ChangeRevision is the revision of an accepted change.
	ChangeRevision uint64 `json:"changeRevision,omitempty"`
	// Name and Revision are those of the preset in force after the change or, after
	// a conflict, at present.
	Name     string `json:"name,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// InForceOn, Missing and Gone are IDs of gateways; see confirmation.
	InForceOn []string `json:"inForceOn,omitempty"`
	Missing   []string `json:"missing,omitempty"`
	Gone      []string `json:"gone,omitempty"`
	// Difference lists the fields that differ: stored and submitted values after a
	// conflict, old and new values after an accepted change. It is always present and
	// may be empty.
	Difference []string `json:"difference"`
	// UnseenChanges lists, after a conflict, the changes made since the revision that
	// the submitted change is based on.
	UnseenChanges []presetstore.AuditEntry `json:"since,omitempty"`
	Warning       string                   `json:"warning,omitempty"`
	Error         string                   `json:"error,omitempty"`
}

var statusNames = map[presetstore.Status]string{
	presetstore.Unknown:     "unknown",
	presetstore.Accepted:    "accepted",
	presetstore.Conflict:    "conflict",
	presetstore.Refused:     "refused",
	presetstore.Unavailable: "unavailable",
}

// noBaseWarning is shown when an edit without a base revision may have overwritten
// another one.
const noBaseWarning = "the file names no base revision, so edits by others since you read the preset were not detected; " +
	"the difference shows what was replaced (start from \"preset show NAME\", or give -base)"

// report prints the outcome of a change and returns the exit code.
func (t *Tool) report(author presetstore.Author, outcome presetstore.Outcome, confirmed confirmation, asJSON bool) subcommands.ExitStatus {
	report := changeReport{
		Status:        statusNames[outcome.Status],
		WriteID:       author.WriteID,
		Name:          outcome.Head.Name,
		Revision:      outcome.Head.InForceRevision,
		InForceOn:     confirmed.inForce,
		Missing:       confirmed.missing,
		Gone:          confirmed.gone,
		Difference:    append([]string{}, outcome.Difference...),
		UnseenChanges: outcome.UnseenChanges,
	}
	exitStatus := subcommands.ExitFailure
	if outcome.Status == presetstore.Accepted {
		exitStatus = subcommands.ExitSuccess
		report.ChangeRevision = outcome.Head.Revision
	}
	if outcome.Err != nil {
		report.Error = outcome.Err.Error()
	}
	switch {
	case outcome.BaseUnknown && outcome.Status == presetstore.Accepted && len(outcome.Difference) > 0:
		report.Warning = noBaseWarning
	case confirmed.err != nil:
		report.Warning = "accepted, but the list of gateways could not be read: " + confirmed.err.Error()
	}
	if asJSON {
		printStatus := t.printJSON(report)
		return max(exitStatus, printStatus)
	}
	t.printReport(outcome, report)
	return exitStatus
}

func (t *Tool) printReport(outcome presetstore.Outcome, report changeReport) {
	switch outcome.Status {
	case presetstore.Accepted:
		t.printAccepted(report)
	case presetstore.Conflict:
		fmt.Fprintf(t.Err, "balsamhill: conflict: another change came first, and nothing was written: %s\n", report.Error)
		fmt.Fprintf(t.Err, "balsamhill: in force now is %s at revision %d\n", orNone(report.Name), report.Revision)
		for _, line := range report.Difference {
			fmt.Fprintln(t.Err, "  stored -> yours:", line)
		}
		if len(report.Difference) == 0 {
			fmt.Fprintln(t.Err, "  no field differs: your values are stored already")
		}
		if len(report.UnseenChanges) > 0 {
			fmt.Fprintln(t.Err, "  changes that came first:")
			printEntries(t.Err, "    ", report.UnseenChanges)
		}
	case presetstore.Unknown:
		fmt.Fprintf(t.Err, "balsamhill: outcome unknown, write ID %s: %s\n", report.WriteID, report.Error)
		fmt.Fprintf(t.Err, "balsamhill: ask later with: balsamhill audit -write %s\n", report.WriteID)
	default:
		t.fail(fmt.Errorf("%s, nothing was written: %w", report.Status, outcome.Err))
	}
}

func (t *Tool) printAccepted(report changeReport) {
	fmt.Fprintf(t.Out, "accepted as revision %d, write ID %s\n", report.ChangeRevision, report.WriteID)
	for _, line := range report.Difference {
		fmt.Fprintln(t.Out, "  "+line)
	}
	if report.Name != "" {
		fmt.Fprintf(t.Out, "preset %s at revision %d is in force on %d of %d gateways\n",
			report.Name, report.Revision, len(report.InForceOn), len(report.InForceOn)+len(report.Missing))
	}
	for _, id := range report.Missing {
		fmt.Fprintf(t.Out, "  not yet in force on %s\n", id)
	}
	for _, id := range report.Gone {
		fmt.Fprintf(t.Out, "  %s is gone: it does not answer and no longer refreshes its row\n", id)
	}
	if report.Warning != "" {
		fmt.Fprintln(t.Err, "balsamhill: warning:", report.Warning)
	}
}
