// Package operator implements the commands of the operator tool. They read and
// write presets and the audit trail in the table service of the platform, and use
// the admin addresses of gateways to announce a change and to check which preset is
// in force. Command balsamhill is the only program that calls it. JSON output and
// exit codes are stable for scripts.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/presetoffer"
	"balsamhill/pkg/presetstore"
)

// Tool holds the settings and outputs that all commands share.
type Tool struct {
	// PlatformURL is read when a command runs, after the flags are parsed.
	PlatformURL *string
	Out, Err    io.Writer
}

const (
	// readTimeout bounds a read-only command.
	readTimeout = 10 * time.Second
	// changeTimeout bounds the store calls of a change, which repeats a transaction
	// whose response was lost. The wait for the gateways is not included.
	changeTimeout = 20 * time.Second
)

// connect returns a client of the platform, or prints an error if the URL is
// missing or invalid.
func (t *Tool) connect() (*httpplatform.Client, bool) {
	if *t.PlatformURL == "" {
		fmt.Fprintln(t.Err, "balsamhill: -platform URL or BALSAMHILL_PLATFORM is required")
		return nil, false
	}
	parsed, err := url.Parse(*t.PlatformURL)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		fmt.Fprintf(t.Err, "balsamhill: -platform: %q is not an http or https URL\n", *t.PlatformURL)
		return nil, false
	}
	return httpplatform.New(*t.PlatformURL), true
}

// usageError prints an error in the command line.
func (t *Tool) usageError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(t.Err, "balsamhill: "+format+"\n", args...)
	return subcommands.ExitUsageError
}

// fail prints an error and puts the name of the program before each line.
func (t *Tool) fail(err error) subcommands.ExitStatus {
	for line := range strings.SplitSeq(err.Error(), "\n") {
		fmt.Fprintln(t.Err, "balsamhill:", line)
	}
	return subcommands.ExitFailure
}

func (t *Tool) printJSON(value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(t.Out)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(value)
	if err != nil {
		return t.fail(err)
	}
	return subcommands.ExitSuccess
}

// newAuthor returns the author of a change, with a new write ID.
func newAuthor(why string) presetstore.Author {
	name := os.Getenv("BALSAMHILL_OPERATOR")
	if name == "" {
		current, err := user.Current()
		if err == nil {
			name = current.Username
		}
	}
	if name == "" {
		name = "unknown"
	}
	return presetstore.Author{Operator: name, Why: why, WriteID: rand.Text(), Now: time.Now()}
}

// runReadOnly runs a read-only command that takes no arguments besides flags.
func (t *Tool) runReadOnly(ctx context.Context, f *flag.FlagSet, run func(context.Context, *presetstore.Store, platform.Table) subcommands.ExitStatus) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return t.usageError("unexpected argument %q", f.Arg(0))
	}
	client, ok := t.connect()
	if !ok {
		return subcommands.ExitUsageError
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return run(ctx, presetstore.New(client), client)
}

// runChange makes a change, waits until it is in force and reports the outcome.
func (t *Tool) runChange(ctx context.Context, author presetstore.Author, asJSON bool, run func(context.Context, *presetstore.Store) presetstore.Outcome) subcommands.ExitStatus {
	client, ok := t.connect()
	if !ok {
		return subcommands.ExitUsageError
	}
	defer client.Close()
	key, err := operatorKey()
	if err != nil {
		return t.fail(err)
	}
	storeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	confirmer := newConfirmer(client)
	confirmer.listGateways(storeCtx)
	outcome := run(storeCtx, presetstore.New(client))
	var confirmed confirmation
	if outcome.Status == presetstore.Accepted {
		if outcome.InForce != "" {
			offer := presetoffer.New(outcome.Head.InForceRevision, []byte(outcome.InForce), key)
			confirmer.offer = &offer
		}
		confirmed = confirmer.confirm(ctx, outcome.Head.InForceRevision)
	}
	return t.report(author, outcome, confirmed, asJSON)
}

// operatorKey reads the key that signs preset offers. It returns nil if the
// environment names no key file.
func operatorKey() ([]byte, error) {
	path := os.Getenv("BALSAMHILL_OPERATOR_KEY_FILE")
	if path == "" {
		return nil, nil
	}
	return presetoffer.ReadKey(path)
}

// parseNameArgument returns the preset name and parses the flags that follow it.
func (t *Tool) parseNameArgument(f *flag.FlagSet) (string, bool) {
	if f.NArg() == 0 {
		t.usageError("the name of a preset is required")
		return "", false
	}
	name := f.Arg(0)
	err := f.Parse(f.Args()[1:])
	if err != nil {
		return "", false
	}
	if f.NArg() > 0 {
		t.usageError("unexpected argument %q", f.Arg(0))
		return "", false
	}
	return name, true
}

// addBaseFlag defines the flag -base. The pointer stays nil if it is not given.
func addBaseFlag(f *flag.FlagSet, base **uint64, usage string) {
	f.Func("base", usage, func(text string) error {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return eris.New("must be a revision, a whole number of at least 0")
		}
		*base = &revision
		return nil
	})
}
