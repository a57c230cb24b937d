// Package operator implements the commands of the operator tool. The tool talks
// to the platform's table service for presets and the audit trail, and to the
// admin addresses of gateways to see what is in force.
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

// Tool holds what all commands share.
type Tool struct {
	// PlatformURL is read when a command runs, after flags are parsed.
	PlatformURL *string
	Out, Err    io.Writer
}

const (
	// readTimeout bounds a command that only reads.
	readTimeout = 10 * time.Second
	// changeTimeout bounds the store calls of a change, which repeats a
	// transaction after a lost answer. Waiting for the gateways comes on top.
	changeTimeout = 20 * time.Second
)

// connect returns a client, or prints why there is none.
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

// usageError prints what is wrong with the command line.
func (t *Tool) usageError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(t.Err, "balsamhill: "+format+"\n", args...)
	return subcommands.ExitUsageError
}

// fail prints an error, each of its lines with the program's name.
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

// newAuthor returns who makes a change, with a fresh write ID.
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

// runReadOnly runs a command that only reads and takes no arguments besides flags.
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

// runChange makes a change, waits until it is in force and reports its outcome.
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

// operatorKey reads the key that signs preset offers, empty if none is named.
func operatorKey() ([]byte, error) {
	path := os.Getenv("BALSAMHILL_OPERATOR_KEY_FILE")
	if path == "" {
		return nil, nil
	}
	return presetoffer.ReadKey(path)
}

// parseNameArgument takes the preset's name and parses flags that stand behind it.
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

// addBaseFlag adds -base; the pointer stays nil if the flag is not given.
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
